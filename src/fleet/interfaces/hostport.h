#pragma once

#include "fleet/entryjob.h"
#include "fleet/fleetframe.h"
#include "workload/targetcalls.h"
#include "workload/targetentry.h"

#include <string>

namespace Anvilcart::Fleet
{
/// What a host asks of its surroundings: connections to hosts, orders to targets, answers to callers.
/// Calls return at once and never call back into the host before they return.
class HostPort
{
public:
    virtual ~HostPort() = default;

    /// Keeps a connection to another host's door.
    virtual void connect(const Endpoint &door) = 0;
    virtual void disconnect(const Endpoint &door) = 0;

    /// Makes the connection anew: the other host does not hear this one.
    virtual void reconnect(const Endpoint &door) = 0;

    /// Sends a frame; false when there is no connection.
    virtual bool sendFrame(const Endpoint &door, const FleetFrame &frame) = 0;

    virtual void sendStart(const TargetEntry &target, const StartRequest &order) = 0;
    virtual void sendStop(const TargetEntry &target, const StopRequest &order) = 0;
    virtual void sendRenewal(const TargetEntry &target, const RenewalRequest &order) = 0;

    /// Connections to this target are not needed any more.
    virtual void forgetTarget(const std::string &target) = 0;

    /// Answers the caller that waits for this job.
    virtual void answerCaller(const std::string &jobId, const CallerReply &reply) = 0;

    /// A peer has sent the operator's record.
    virtual void onConfigurationRecord(const ConfigurationRecord &record) = 0;

    /// Milliseconds since 1970; may step. Only a first guess for fencing tokens.
    virtual std::int64_t wallClockMs() = 0;
};
} // namespace Anvilcart::Fleet
