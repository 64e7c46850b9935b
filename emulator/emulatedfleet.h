#pragma once

#include "emulator/invariantchecker.h"
#include "emulator/simulatedclock.h"
#include "emulator/simulatedtarget.h"
#include "fleet/hostnode.h"

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace Anvilcart::Emulation
{
/// A kind of jobs that callers send.
struct JobKind
{
    std::string route;
    double perSecond = 10;
    std::uint32_t tasks = 2;
    Duration runTime = Milliseconds(100);
    /// Deviation of run times between jobs, and of callers' estimates, as factors of the normal distribution's exponent.
    double spread = 0.4;
    double estimateError = 0.4;
    std::int64_t milliCores = 14000;
    std::int64_t priority = 0;
    double stretch = 1.6;
    Duration targetLatency = Milliseconds(60);
    /// Callers wait that long, and so many objectives of their job more.
    Duration callerLimit = Milliseconds(1500);
    double objectivesWaited = 0;
};

/// What is emulated.
struct FleetOptions
{
    std::uint64_t seed = 1;
    std::vector<std::string> hostZones = {"a", "a", "b", "b", "c", "c"};
    std::vector<std::string> targetZones = {"a", "b", "c"};
    std::size_t targetsOfZone = 8;
    std::vector<JobKind> kinds;
    Fleet::SchedulerLimits limits;
    Duration inZone = std::chrono::microseconds(200);
    Duration acrossZones = std::chrono::microseconds(1400);
};

/// What callers got, for one kind of jobs.
struct KindResult
{
    std::size_t asked = 0;
    std::size_t inObjective = 0;
    /// Within three objectives, and after them.
    std::size_t late = 0;
    std::size_t overdue = 0;
    std::size_t refused = 0;
    std::size_t unanswered = 0;
};

/// Many hosts that run the product's own state machines, with targets, callers and the network between them, on one clock in one
/// thread. Nothing depends on real time; the same seed gives the same run. Not thread-safe.
class EmulatedFleet
{
public:
    explicit EmulatedFleet(FleetOptions options);
    ~EmulatedFleet();

    /// Runs until that time since the start; callers come from firstCallers on until lastCallers.
    void run(Duration firstCallers, Duration lastCallers, Duration end);

    /// Faults; call before run(), they strike at that time since the start.
    void killHost(std::size_t host, Duration at, Duration downFor);
    void freezeHost(std::size_t host, Duration at, Duration length);
    void stopHost(std::size_t host, Duration at, Duration downFor);
    /// With resets, connections across the cut are closed at once; else they only fall silent.
    void cutZone(const std::string &zone, Duration at, Duration length, bool resets = false);
    void cutHost(std::size_t host, Duration at, Duration length);
    void slowTargets(std::size_t count, double factor, Duration at, Duration length);
    void failTargets(std::size_t count, Duration at, Duration length);
    void hangTargets(std::size_t count, Duration at, Duration length);
    void restartTargets(std::size_t count, Duration at);
    void loseOrders(double share, Duration at, Duration length);
    /// Callers of a share of the jobs leave early.
    void leaveEarly(double share, Duration at, Duration length);
    void burst(double factor, Duration at, Duration length);
    /// A burst of one kind of jobs, over that of all.
    void burstOfKind(const std::string &route, double factor, Duration at, Duration length);

    const Promises &promises() const;
    const std::map<std::string, KindResult> &results() const;

    /// Hosts that dispatch to a pool now.
    std::size_t dispatcherCount() const;

    /// The host that dispatches to the most targets now.
    std::size_t leadingHost() const;

private:
    struct Host;
    struct Call;

    void at(Duration time, std::function<void()> action);
    void startHost(std::size_t index);
    void stopProcess(std::size_t index);
    void closeLinksAcross(const std::string &zone);
    void tick(std::size_t index, std::uint64_t life);
    void scheduleCaller(const JobKind &kind, Duration last);
    void submit(const std::shared_ptr<Call> &call);
    void onAnswer(std::size_t host, const std::string &jobId, const Fleet::CallerReply &reply);
    void onBrokenConnection(const std::shared_ptr<Call> &call);
    bool isCut(const std::string &from, const std::string &to) const;
    Duration delay(const std::string &from, const std::string &to) const;
    static Duration objectiveOf(const Call &call);
    static Duration limitOf(const Call &call);
    TaskTruth truthOf(const Fleet::TaskName &task) const;

    FleetOptions m_options;
    SimulatedClock m_clock;
    Promises m_promises;
    std::mt19937_64 m_random;
    std::vector<std::unique_ptr<SimulatedTarget>> m_targets;
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::map<std::string, std::shared_ptr<Call>> m_calls;
    std::map<std::string, KindResult> m_results;
    std::set<std::string> m_cutZones;
    std::set<std::string> m_cutHosts;
    double m_lostOrders = 0;
    double m_leavers = 0;
    double m_burst = 1;
    std::map<std::string, double> m_burstOfKind;
    std::uint64_t m_jobs = 0;
};
} // namespace Anvilcart::Emulation
