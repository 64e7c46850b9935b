#pragma once

#include "fleet/entryjob.h"
#include "fleet/fleetview.h"
#include "scheduling/interfaces/schedulerobserver.h"
#include "scheduling/scheduler.h"

#include <string>

namespace Anvilcart::Fleet
{
/// Hears of a host's decisions, for logs and metrics.
class HostObserver : public SchedulerObserver
{
public:
    /// A caller's job goes to a dispatcher.
    virtual void onJobSent(const EntryJob &job, const std::string &dispatcher, Duration reportAge) = 0;

    /// A caller is answered.
    virtual void onCallerAnswered(const EntryJob &job, const CallerReply &reply, Duration response) = 0;

    /// A dispatcher ended a job; at the dispatcher.
    virtual void onJobEnded(const JobSubmission &job, const JobResult &result, Duration since) = 0;

    /// Another host appeared or fell silent.
    virtual void onHostSeen(const HostReport &report, bool live, Duration silentFor) = 0;

    /// This host claims a pool, gives it up, or has given it up.
    virtual void onPool(const PoolName &pool, const char *what, std::uint64_t round, std::size_t targets) = 0;

    /// A target turned out to obey another host.
    virtual void onTargetTaken(const std::string &target, std::uint64_t fencingToken) = 0;

    /// A message was under way for too long to act on the jobs in it.
    virtual void onStaleFrame(const std::string &host, Duration delay, std::size_t jobs) = 0;

    /// Once a second at a dispatcher.
    virtual void onUsage(const TargetUsage &usage) = 0;

    /// The process stood still.
    /// The host's processor does not keep up with its work, or does again. The delay is that of its last timers, on average.
    virtual void onStrain(bool strained, Duration delay) = 0;

    virtual void onTimeGap(Duration gap) = 0;
};
} // namespace Anvilcart::Fleet
