#include "fleet/startupclaims.h"

#include <algorithm>

namespace Anvilcart::Fleet
{
namespace
{
/// After its start a host waits this long for reports of others before it claims a pool. Longer than the 300 ms within which all hosts
/// of a fleet start, but not by much, since callers may already wait.
constexpr Milliseconds DiscoveryPeriod {400};
/// The same once every known host has reported. In this time the connections of hosts that this one does not know arrive.
constexpr Milliseconds CompleteViewPeriod {100};
/// Processes that may have ended prevent claims for this much longer at most, however many there are and whenever their reports arrive.
/// Two frames that wait 200 ms each for a process whose processor time is used up take as long.
constexpr Milliseconds ProofTimeout {400};

/// True for a host that dispatches to the pool, or would be asked to if nobody did.
bool concerns(const HostReport &report, const PoolName &pool)
{
    const bool isInZone = pool.zone.empty() || pool.zone == report.zone;
    return (isInZone && !report.leaving) || std::any_of(report.claims.begin(), report.claims.end(), [&](const PoolClaim &claim) {
               return claim.pool == pool && !claim.yielding;
           });
}
} // namespace

void StartupClaims::begin(TimePoint now)
{
    if (m_startedAt == TimePoint()) {
        m_startedAt = now;
    }
}

void StartupClaims::onUnprovenReport(const HostReport &report, TimePoint now)
{
    if (m_startedAt == TimePoint() || now - m_startedAt < DiscoveryPeriod + ProofTimeout) {
        m_unprovenReports[report.host] = report;
    }
}

void StartupClaims::onReport(const std::string &host)
{
    m_unprovenReports.erase(host);
}

void StartupClaims::onLinkClosed(const std::string &host, std::uint64_t incarnation)
{
    const auto found = m_unprovenReports.find(host);
    if (found != m_unprovenReports.end() && found->second.incarnation == incarnation) {
        m_unprovenReports.erase(found);
    }
}

void StartupClaims::onPause(Duration pause, TimePoint now)
{
    if (m_startedAt != TimePoint()) {
        m_startedAt = std::min(m_startedAt + pause, now);
    }
}

void StartupClaims::setViewComplete(bool isComplete)
{
    m_isViewComplete = isComplete;
}

bool StartupClaims::mayClaim(const PoolName &pool, TimePoint now) const
{
    const auto sinceStart = now - m_startedAt;
    if (sinceStart < (m_isViewComplete ? CompleteViewPeriod : DiscoveryPeriod)) {
        return false;
    }
    return sinceStart >= DiscoveryPeriod + ProofTimeout
        || std::none_of(m_unprovenReports.begin(), m_unprovenReports.end(), [&](const auto &entry) {
               return concerns(entry.second, pool);
           });
}
} // namespace Anvilcart::Fleet
