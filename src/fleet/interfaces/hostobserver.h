#pragma once

#include "fleet/entryjob.h"
#include "fleet/fleetview.h"
#include "scheduling/interfaces/schedulerobserver.h"
#include "scheduling/scheduler.h"

#include <string>

namespace Anvilcart::Fleet
{
/// Receives a host's decisions, for logs and metrics.
class HostObserver : public SchedulerObserver
{
public:
    /// A caller's job was submitted to a dispatcher, whose last report has this age.
    virtual void onJobSent(const EntryJob &job, const std::string &dispatcher, Duration reportAge) = 0;

    /// A caller gets its answer, this long after the arrival of its job.
    virtual void onCallerAnswered(const EntryJob &job, const CallerReply &reply, Duration responseTime) = 0;

    /// A look at the connections of a job's callers showed that all of them have been closed, this long after the arrival of the job.
    virtual void onCallerGone(const EntryJob &job, Duration sinceArrival) = 0;

    /// This host, as the dispatcher, ended a job, this long after the job's arrival.
    virtual void onJobEnded(const JobSubmission &job, const JobResult &result, Duration sinceArrival) = 0;

    /// Another host became live; or it became unresponsive or restarted, this long after its last report.
    virtual void onHostLivenessChanged(const HostReport &report, bool live, Duration sinceLastReport) = 0;

    /// Another process of a host took the place of the one with the previous incarnation, by a message that took this much longer than the
    /// fastest one of that process.
    virtual void onProcessReplaced(const std::string &host, std::uint64_t incarnation, std::uint64_t previous, Duration excessDelay) = 0;

    /// A message was not acted upon, since its sender may have ended.
    virtual void onUnprovenFrame(const std::string &host, std::uint64_t incarnation) = 0;

    /// This host claimed, kept, yielded or released a pool.
    virtual void onPoolChanged(const PoolName &pool, const char *change, std::uint64_t round, std::size_t targets) = 0;

    /// A target has accepted a higher fencing token than the one that this host sent.
    virtual void onTargetTakenOver(const std::string &target, std::uint64_t fencingToken) = 0;

    /// A message was delayed for too long to accept the jobs in it.
    virtual void onStaleFrame(const std::string &host, Duration delay, std::size_t jobs) = 0;

    /// The evacuation of a zone has begun or ended, by the store or by a peer; this many zones are evacuated now.
    virtual void onEvacuationChanged(const std::string &zone, bool begun, bool byStore, std::size_t evacuatedZones) = 0;

    /// Called once a second on a dispatcher.
    virtual void onUsage(const TargetUsage &usage) = 0;

    /// The host became overloaded, or ceased to be. The delay is the moving average of its timer delays.
    virtual void onOverloadChanged(bool overloaded, Duration averageDelay) = 0;

    /// The process was paused for this time.
    virtual void onTimeGap(Duration gap) = 0;
};
} // namespace Anvilcart::Fleet
