#pragma once

#include "fleet/cancelinquiries.h"
#include "fleet/entryjob.h"
#include "fleet/fleetframe.h"
#include "workload/targetcalls.h"
#include "workload/targetentry.h"

#include <string>

namespace Anvilcart::Fleet
{
/// The operations that a host needs from its environment: connections to hosts, requests to targets, answers to callers.
/// Calls do not block, and do not call back into the host before they return.
class HostPort
{
public:
    virtual ~HostPort() = default;

    /// Opens a connection to another host's endpoint, and reopens it whenever it fails. If it waits for its next attempt, that is made at
    /// once.
    virtual void connect(const Endpoint &endpoint) = 0;
    virtual void disconnect(const Endpoint &endpoint) = 0;

    /// Closes the connection and opens a new one. For a connection on which the other host receives nothing.
    virtual void reconnect(const Endpoint &endpoint) = 0;

    /// True while a frame to the endpoint could be sent.
    virtual bool isConnected(const Endpoint &endpoint) const = 0;

    /// True when the machine of the endpoint has refused the last attempt to connect: no process listens there.
    virtual bool refusesConnections(const Endpoint &endpoint) const = 0;

    /// Sends a frame; false when there is no connection.
    virtual bool sendFrame(const Endpoint &endpoint, const FleetFrame &frame) = 0;

    virtual void sendStart(const TargetEntry &target, const StartRequest &request) = 0;
    virtual void sendStop(const TargetEntry &target, const StopRequest &request) = 0;
    virtual void sendRenewal(const TargetEntry &target, const RenewalRequest &request) = 0;

    /// Closes the connections to a target, which are not needed any more.
    virtual void closeTargetConnections(const std::string &target) = 0;

    /// Reads the list of targets soon, without waiting for the next periodic read.
    virtual void refreshTargetList() = 0;

    /// Looks at the connections of the callers that wait for this job: false when all of them have been closed, even if this host has not
    /// been told yet.
    virtual bool isCallerConnected(const std::string &jobId) = 0;

    /// Answers the caller that waits for this job.
    virtual void answerCaller(const std::string &jobId, const CallerReply &reply) = 0;

    /// A caller's request to cancel this job is decided.
    virtual void onCancelDecided(const std::string &jobId, CancelOutcome outcome) = 0;

    /// A peer has sent the operator's configuration record.
    virtual void onConfigurationRecord(const ConfigurationRecord &record) = 0;

    /// Milliseconds since 1970; may jump in either direction. Used only for the starting value of fencing tokens.
    virtual std::int64_t wallClockMs() = 0;
};
} // namespace Anvilcart::Fleet
