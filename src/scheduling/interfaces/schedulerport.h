#pragma once

#include "scheduling/joborder.h"
#include "workload/targetcalls.h"

#include <string>

namespace Anvilcart::Fleet
{
/// What the scheduler asks of the world. Calls return at once; answers come back as calls on the scheduler.
class SchedulerPort
{
public:
    virtual ~SchedulerPort() = default;

    /// Sends a start; Scheduler::onStartReply() tells what came of it.
    virtual void sendStart(const std::string &target, const StartRequest &order) = 0;

    /// Sends a stop; Scheduler::onStopReply() tells what came of it.
    virtual void sendStop(const std::string &target, const StopRequest &order) = 0;

    /// Sends a renewal; Scheduler::onRenewalReply() tells what came of it. At most one is in flight for a target.
    virtual void sendRenewal(const std::string &target, const RenewalRequest &order) = 0;

    /// Tells the entry host of the job how it ended. Not called for a job that its entry host cancelled.
    virtual void onJobEnd(const JobOrder &job, const JobResult &result) = 0;

    /// A target holds a higher fencing token than ours: another host took it over. wasOwned is false when it never obeyed this host.
    virtual void onTargetLost(const std::string &target, bool wasOwned) = 0;

    /// A target has started anew and forgotten its fencing token, so that late orders to its earlier life would take effect. It must be
    /// claimed again under a higher token.
    virtual void onTargetRestarted(const std::string &target) = 0;

    /// A target that was given up has no run of ours any more.
    virtual void onTargetReleased(const std::string &target) = 0;
};
} // namespace Anvilcart::Fleet
