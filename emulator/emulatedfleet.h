#pragma once

#include "emulator/emulatedcallers.h"
#include "emulator/emulatedconnections.h"
#include "emulator/emulatedhost.h"
#include "emulator/emulatednetwork.h"
#include "emulator/invariantchecker.h"
#include "emulator/jobkind.h"
#include "emulator/simulatedclock.h"
#include "emulator/simulatedtarget.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace Anvilcart::Emulation
{
/// Size, load and network delays of an emulated fleet.
struct FleetOptions
{
    std::uint64_t seed = 1;
    std::vector<std::string> hostZones = {"a", "a", "b", "b", "c", "c"};
    std::vector<std::string> targetZones = {"a", "b", "c"};
    std::size_t targetsPerZone = 8;
    /// The capacity of each target; 0 for a mix of two sizes.
    std::int64_t targetMilliCores = 0;
    std::vector<JobKind> kinds;
    Fleet::SchedulerLimits limits;
    Duration delayInZone = std::chrono::microseconds(200);
    Duration delayAcrossZones = std::chrono::microseconds(1400);
    /// Frames between hosts travel over connections, so that a cut delays them; otherwise a partition drops them.
    bool hasConnections = false;
    /// Jobs of different routes that are submitted one after the other have the same id.
    bool sharesIds = false;
};

/// Emulates hosts, which run the production state machines, with targets, callers and the network between them, on one simulated clock
/// in one thread. Nothing depends on real time, so the same seed gives the same run. Not thread-safe.
class EmulatedFleet
{
public:
    /// From the begin of a stop to the end of the process.
    static constexpr Milliseconds ShutdownTime {2500};

    explicit EmulatedFleet(FleetOptions options);
    ~EmulatedFleet();

    /// The rack of a zone's target with this number.
    static std::string rackOf(const std::string &zone, std::size_t number);

    /// Runs until end; callers submit jobs from firstCallers until lastCallers. All times count from the start of the emulation.
    void run(Duration firstCallers, Duration lastCallers, Duration end);

    /// Faults. Call these functions before run(); a fault begins at the given time since the start of the emulation.
    void killHost(std::size_t host, Duration at, Duration downFor);
    /// A host that already stands still at that time is not paused again.
    void pauseHost(std::size_t host, Duration at, Duration length);
    void stopHost(std::size_t host, Duration at, Duration downFor);
    /// Separates a zone from the other zones. With resets, connections between them are closed at once; otherwise messages are dropped.
    void partitionZone(const std::string &zone, Duration at, Duration length, bool resets = false);
    /// Separates a host from the other hosts, but not from targets.
    void partitionHost(std::size_t host, Duration at, Duration length);
    /// Delays what one host sends to another until the cut ends; the other direction works.
    void cutHostFromHost(std::size_t from, std::size_t to, Duration at, Duration length);
    void slowTargets(std::size_t count, double factor, Duration at, Duration length);
    void failTargets(std::size_t count, Duration at, Duration length);
    void hangTargets(std::size_t count, Duration at, Duration length);
    void restartTargets(std::size_t count, Duration at);
    /// Separates targets from all hosts; requests to them are delivered late, when the connections work again, and get no reply. The
    /// targets restart after restartAfter, if that is above 0 and below length.
    void cutTargets(std::size_t count, Duration restartAfter, Duration at, Duration length);
    /// A share of the requests to targets takes effect seconds late and gets no reply.
    void delayTargetRequests(double share, Duration at, Duration length);
    /// The operator evacuates a zone for this time. Its targets are cold for coldFor from the end on: they register that, and run tasks
    /// several times slower.
    void evacuateZone(const std::string &zone, Duration at, Duration length, Duration coldFor);
    /// A host cannot read the store.
    void cutHostFromStore(std::size_t host, Duration at, Duration length);
    /// No host can read the store.
    void failTargetListReads(Duration at, Duration length);
    /// Callers cancel a share of the jobs that they submit in this time, halfway through the run time.
    void cancelJobs(double share, Duration at, Duration length);
    /// The connection to the entry host breaks for a share of the jobs that callers submit in this time, early in their run time. Their
    /// callers send them again, also after an unknown outcome.
    void breakCallerConnections(double share, Duration at, Duration length);
    /// In this time, hosts read a share of the callers' jobs, and of the ends of their connections, up to the longest delay late.
    void delayCallerReads(double share, Duration longest, Duration at, Duration length);
    /// In this time, a host reads all that arrives this much late, in the order of arrival; its timers stay on time.
    void delayReads(std::size_t host, Duration delay, Duration at, Duration length);
    /// The callers of all jobs send them again after an unknown outcome, as the protocol says.
    void sendJobsAgainAfterUnknownOutcomes();
    /// A share of the jobs of a route has a task that crashes each target that starts it.
    void submitCrashingJobs(const std::string &route, double share, Duration at, Duration length);
    /// Multiplies the capacity of targets.
    void resizeTargets(std::size_t count, double factor, Duration at, Duration length);
    void increaseLoad(double factor, Duration at, Duration length);
    /// Multiplies the load of one kind of job, in addition to the factor for all kinds.
    void increaseLoadOfKind(const std::string &route, double factor, Duration at, Duration length);

    /// Sets a function that is called with the host and the time since the start of the emulation whenever a host claims a pool, by a
    /// hand-over or a takeover. It may add faults from that time on.
    void setClaimHandler(std::function<void(std::size_t host, Duration at)> handler);

    /// Calls action at that time with the hosts that dispatch to a pool then. It may add faults from that time on.
    void callWithDispatchers(Duration at, std::function<void(const std::vector<std::size_t> &dispatchers)> action);

    const InvariantChecker &invariants() const;
    const std::map<std::string, JobKindResult> &results() const;
    const EmulatedCallers &callers() const;

    /// Number of hosts that currently dispatch to a pool.
    std::size_t dispatcherCount() const;

    /// Index of the first host that currently dispatches to a pool, 0 when there is none.
    std::size_t dispatcherHost() const;

private:
    void scheduleAt(Duration time, std::function<void()> action);

    /// Calls apply with true when a fault begins and with false when it ends.
    void scheduleFault(Duration at, Duration length, std::function<void(bool isActive)> apply);

    void addTargets();
    void addHosts();
    void stopProcess(EmulatedHost &host);
    void closeConnectionsAcross(const std::string &zone);
    void forTargets(std::size_t count, const std::function<void(SimulatedTarget &)> &action);

    FleetOptions m_options;
    SimulatedClock m_clock;
    InvariantChecker m_invariants;
    std::mt19937_64 m_random;
    EmulatedNetwork m_network;
    EmulatedConnections m_connections;
    Fleet::EvacuationView m_evacuations;
    std::vector<std::unique_ptr<SimulatedTarget>> m_targets;
    std::vector<std::unique_ptr<EmulatedHost>> m_hosts;
    EmulatedCallers m_callers;
    std::function<void(std::size_t, Duration)> m_claimHandler;
};
} // namespace Anvilcart::Emulation
