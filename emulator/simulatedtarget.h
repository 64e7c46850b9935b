#pragma once

#include "emulator/invariantchecker.h"
#include "emulator/simulatedclock.h"
#include "workload/targetcalls.h"
#include "workload/targetentry.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Anvilcart::Emulation
{
/// Run time of a task on a target of normal speed, the resources that it requires, and whether it fails.
struct TaskProfile
{
    Duration runTime {0};
    Fleet::Resources demand;
    bool fails = false;
    /// The target crashes this long after it has started the task; 0 when it does not.
    Duration crashesAfter {0};
};

/// Simulates a target with fencing, leases, run numbers and lists of runs, as the platform documents them. It has one deadline for all that
/// runs there, which is never shortened: it lasts beyond the end of runs and a change of the owner, until the target restarts. Unless
/// setCapacityEnforced() was called, it accepts runs beyond its capacity and reports them to the invariant checker.
class SimulatedTarget
{
public:
    /// Called when a task is sent to the target, and when its run time is over.
    using ProfileLookup = std::function<TaskProfile(const Fleet::TaskName &)>;

    /// The clock, the invariant checker and the objects that lookUpProfile refers to must outlive the target.
    SimulatedTarget(Fleet::TargetEntry entry, SimulatedClock &clock, InvariantChecker &invariants, ProfileLookup lookUpProfile);

    const Fleet::TargetEntry &entry() const;
    Fleet::TargetEntry &entry();

    Fleet::TargetReply start(const Fleet::StartRequest &request);
    Fleet::TargetReply stop(const Fleet::StopRequest &request);

    /// Renews leases. Answers at once when ended runs are listed or the request has no wait time; otherwise when a run ends, at the latest
    /// after the wait time.
    void renew(const Fleet::RenewalRequest &request, std::function<void(const Fleet::RenewalReply &)> answer);

    /// Restarts with the same id and loses all state.
    void restart();

    /// Loses all state, answers nothing for some seconds, and restarts with the same id.
    void crash();

    /// True between a crash and the restart.
    bool isDown() const;

    /// Changes the capacity that the target's entry shows. Runs are not stopped.
    void setCapacity(const Fleet::Resources &capacity);

    /// Whether starts beyond the capacity are refused.
    void setCapacityEnforced(bool enforced);

    /// Sets how much the target's clock advances in the time of the simulation: 1 for an exact clock, 0.98 for the slowest one.
    /// Precondition: the target has not received a request.
    void setClockRate(double rate);

    /// Multiplies the run time of runs that start from now on.
    void setRunTimeFactor(double factor);

    /// Starts after this time are reported to the invariant checker.
    void setClosedFrom(std::optional<TimePoint> time);

    /// Makes runs that start from now on fail when their run time is over.
    void setFailing(bool failing);

    /// Makes runs that start from now on never end by themselves; meanwhile all runs report no progress.
    void setHanging(bool hanging);

    std::int64_t clockMs() const;
    std::size_t runningCount() const;

    /// The highest fencing token that was seen in this life; 0 before the first.
    std::uint64_t fencingToken() const;

    /// On this target's clock: until then runs may live, also those that are started meanwhile. 0 when no lease was granted in this life.
    std::int64_t leaseUntilMs() const;

    /// True while a run could live under the leases that were granted so far.
    bool hasLease() const;

private:
    struct Run
    {
        /// The task by the key of its job, which the payload holds: two jobs may share the id in the run's name.
        Fleet::TaskName owner;
        Fleet::Resources demand;
        TimePoint startedAt;
        TimePoint endsAt;
        std::uint64_t incarnation = 0;
        double runTimeFactor = 1;
    };

    struct PendingRenewal
    {
        std::function<void(const Fleet::RenewalReply &)> answer;
        bool answered = false;
    };

    static Fleet::TaskName ownerOf(const Fleet::StartRequest &request);
    void loseState();
    /// Ends the run, or extends it if its profile has a longer run time by now.
    void onRunTimeOver(const Fleet::RunName &name, std::uint64_t incarnation, bool fails);
    void endRun(const Fleet::RunName &name, Fleet::RunEnd outcome);
    void extendLease(std::int64_t untilMs);
    void scheduleLeaseExpiry();
    Fleet::TargetListing listing() const;
    void answerPendingRenewals();

    Fleet::TargetEntry m_entry;
    SimulatedClock &m_clock;
    InvariantChecker &m_invariants;
    ProfileLookup m_lookUpProfile;
    TimePoint m_startedAt;
    std::uint64_t m_incarnation = 1;
    std::uint64_t m_fencingToken = 0;
    std::int64_t m_leaseUntilMs = 0;
    double m_clockRate = 1;
    bool m_isCapacityEnforced = false;
    std::map<Fleet::RunName, Run> m_runs;
    std::map<Fleet::TaskName, std::uint32_t> m_lastEndedRun;
    std::vector<Fleet::EndedRun> m_endedRuns;
    std::uint64_t m_lastPosition = 0;
    std::vector<std::shared_ptr<PendingRenewal>> m_pendingRenewals;
    double m_runTimeFactor = 1;
    std::optional<TimePoint> m_closedFrom;
    bool m_failing = false;
    bool m_hanging = false;
    bool m_down = false;
    /// The capacity before it last shrank, which a start may still use until the deadline.
    Fleet::Resources m_capacityBefore;
    TimePoint m_capacityBeforeUntil;
};
} // namespace Anvilcart::Emulation
