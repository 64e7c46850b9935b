#pragma once

#include "fleet/fleetview.h"
#include "kernel/time.h"

#include <cstdint>
#include <map>
#include <string>

namespace Anvilcart::Fleet
{
/// Decides from when on a process that has just started may claim pools: its peers may dispatch to them or be about to, and it does not see
/// them before frames have gone back and forth. Safety does not depend on it, since a target accepts only the highest fencing token. Not
/// thread-safe.
class StartupClaims
{
public:
    /// Begins the wait. Calls after the first one have no effect.
    void begin(TimePoint now);

    /// A report has arrived that does not count, since its sender may have ended; see PeerProcesses.
    void onUnprovenReport(const HostReport &report, TimePoint now);

    /// A report of the host's present process has arrived, which counts.
    void onReport(const std::string &host);

    /// The only connection from this process of the host has closed.
    void onLinkClosed(const std::string &host, std::uint64_t incarnation);

    /// This host was paused, and received no reports.
    void onPause(Duration pause, TimePoint now);

    /// Whether every endpoint that this host knows belongs to a host whose reports count, and that has named the endpoints it knows.
    void setViewComplete(bool isComplete);

    /// True when this host may claim the pool. Call begin() before.
    bool mayClaim(const PoolName &pool, TimePoint now) const;

private:
    TimePoint m_startedAt;
    bool m_isViewComplete = false;
    /// The last reports of processes that may have ended, by their hosts.
    std::map<std::string, HostReport> m_unprovenReports;
};
} // namespace Anvilcart::Fleet
