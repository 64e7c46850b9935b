#pragma once

#include "emulator/invariantchecker.h"
#include "emulator/simulatedclock.h"
#include "workload/targetcalls.h"
#include "workload/targetentry.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace Anvilcart::Emulation
{
/// Tells how long a task runs on a target of ordinary speed, what it needs, and whether it fails.
struct TaskTruth
{
    Duration runTime {0};
    Fleet::Resources need;
    bool fails = false;
};

/// A target as the platform's pages describe it: fencing, leases, run numbers, lists of runs. It does not guard its capacity.
class SimulatedTarget
{
public:
    using Truth = std::function<TaskTruth(const Fleet::TaskName &)>;

    /// The clock, the promises and what truth refers to outlive the target.
    SimulatedTarget(Fleet::TargetEntry entry, SimulatedClock &clock, Promises &promises, Truth truth);

    const Fleet::TargetEntry &entry() const;
    Fleet::TargetEntry &entry();

    Fleet::TargetReply start(const Fleet::StartRequest &order);
    Fleet::TargetReply stop(const Fleet::StopRequest &order);

    /// Renews leases; answers at once, or when a run ends within the order's wait.
    void renew(const Fleet::RenewalRequest &order, std::function<void(const Fleet::RenewalReply &)> answer);

    /// Loses everything and starts anew under the same id.
    void restart();

    /// Runs take so many times as long from now on.
    void setSlowness(double slowness);

    /// Every run fails at its end.
    void setFailing(bool failing);

    /// Runs make no progress.
    void setHanging(bool hanging);

    std::int64_t clockMs() const;
    std::size_t runningCount() const;

private:
    struct Run
    {
        Fleet::Resources need;
        TimePoint begunAt;
        TimePoint endsAt;
        std::uint64_t life = 0;
    };

    struct Waiter
    {
        std::function<void(const Fleet::RenewalReply &)> answer;
        bool answered = false;
    };

    void end(const Fleet::RunName &name, Fleet::RunEnd how);
    void extendLease(std::int64_t untilMs);
    void watchLease();
    Fleet::TargetListing listing() const;
    void answerWaiters();

    Fleet::TargetEntry m_entry;
    SimulatedClock &m_clock;
    Promises &m_promises;
    Truth m_truth;
    TimePoint m_bornAt;
    std::uint64_t m_life = 1;
    std::uint64_t m_fence = 0;
    std::int64_t m_leaseUntilMs = 0;
    std::map<Fleet::RunName, Run> m_runs;
    std::map<Fleet::TaskName, std::uint32_t> m_endedRun;
    std::vector<Fleet::EndedRun> m_ended;
    std::uint64_t m_positions = 0;
    std::vector<std::shared_ptr<Waiter>> m_waiters;
    double m_slowness = 1;
    bool m_failing = false;
    bool m_hanging = false;
};
} // namespace Anvilcart::Emulation
