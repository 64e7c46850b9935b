#pragma once

#include "kernel/eventloops.h"
#include "platform/settingsfile.h"

#include <memory>
#include <string>

namespace Anvilcart::Fleet
{
/// Options that the operator sets on the command line; all else comes from the platform's settings file.
struct HostOptions
{
    std::string settingsPath;
    /// Name of the policy that orders waiting jobs; see queuePolicyNamed().
    std::string queuePolicy = "fair-share";
    /// Refuse jobs at once that cannot meet their deadline. Off only in baseline measurements.
    bool refuseInfeasible = true;
    /// Refuse jobs that have missed their objective while capacity is short.
    bool refuseLate = false;
    /// Port of the metrics endpoint, at the address of the callers' endpoint; 0 disables it.
    std::uint16_t metricsPort = 0;
};

/// Runs one host: its endpoints, its connections to the store, peers and targets, and its HostNode. All work runs on one event loop,
/// since a host has only a fraction of a core.
class HostProcess
{
public:
    /// Binds the endpoints; throws boost::system::system_error when one cannot be bound.
    HostProcess(Platform::HostSettings settings, HostOptions options);
    ~HostProcess();

    /// Serves until SIGTERM or SIGINT, then until all jobs and requests in flight have ended or the grace period is over. Blocks.
    void run();

private:
    struct Private;
    std::shared_ptr<Private> d;
};
} // namespace Anvilcart::Fleet
