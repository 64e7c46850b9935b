#pragma once

#include "scheduling/jobsubmission.h"
#include "workload/targetcalls.h"

#include <string>
#include <vector>

namespace Anvilcart::Fleet
{
/// The scheduler's outgoing calls. They do not block; replies arrive as calls on the scheduler.
class SchedulerPort
{
public:
    virtual ~SchedulerPort() = default;

    /// Sends a start; the reply goes to Scheduler::onStartReply().
    virtual void sendStart(const std::string &target, const StartRequest &request) = 0;

    /// Sends a stop; the reply goes to Scheduler::onStopReply().
    virtual void sendStop(const std::string &target, const StopRequest &request) = 0;

    /// Sends a renewal; the reply goes to Scheduler::onRenewalReply() with the renewal's token and sequence number.
    virtual void sendRenewal(const std::string &target, const RenewalRequest &request) = 0;

    /// Reports the result of a job to its entry host. Not called for a job that its entry host cancelled.
    virtual void onJobEnd(const JobSubmission &job, const JobResult &result) = 0;

    /// The records of the targets that were lost under the job's tasks have changed. Its entry host keeps them for the next dispatcher.
    virtual void onCrashRecords(const JobSubmission &job, const std::vector<TaskCrashes> &crashes) = 0;

    /// A run of the job is being started. Its entry host keeps the identity for the next dispatcher.
    virtual void onRunStarted(const JobSubmission &job, RunIdentity run) = 0;

    /// Runs of the job that were found, or taken over from another entry host, may last until then, which is later than its entry host
    /// assumes by its grant. Called again when that becomes known anew.
    virtual void onRunsOutlastGrant(const JobSubmission &job, TimePoint endBy) = 0;

    /// A target holds a higher fencing token than this host's: another host took it over. wasOwned is false when it never accepted this
    /// host's token.
    virtual void onTargetLost(const std::string &target, bool wasOwned) = 0;

    /// A target has restarted and lost its fencing token, so that late requests to its previous incarnation would take effect. It must be
    /// claimed again under a higher token.
    virtual void onTargetRestarted(const std::string &target) = 0;

    /// A target was released or removed; it holds no run of this host any more.
    virtual void onTargetReleased(const std::string &target) = 0;
};
} // namespace Anvilcart::Fleet
