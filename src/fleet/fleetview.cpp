#include "fleet/fleetview.h"

#include <algorithm>
#include <utility>

namespace Anvilcart::Fleet
{
namespace
{
/// Report periods without a report after which a host counts as unresponsive: a pause of the process may cost one, a reconnect another.
constexpr int UnresponsivePeriods = 3;
/// A live host reconnects within this time.
constexpr Milliseconds ReconnectGrace {180};
/// Tolerance for delayed timers and slow hosts.
constexpr Milliseconds UnresponsiveMargin {100};
} // namespace

bool FleetView::onReport(HostReport report, TimePoint now, Duration sentAt)
{
    auto &member = m_members[report.host];
    const bool becameLive = member.report.incarnation != report.incarnation || !isLive(member, now);
    if (becameLive) {
        member.liveSince = now;
    }
    member.report = std::move(report);
    member.lastReportAt = now;
    member.silentSince = now;
    member.reportSentAt = sentAt;
    member.disconnectedAt = TimePoint();
    return becameLive;
}

void FleetView::onDisconnect(const std::string &host, std::uint64_t incarnation, TimePoint now)
{
    const auto found = m_members.find(host);
    if (found != m_members.end() && found->second.report.incarnation == incarnation) {
        found->second.disconnectedAt = now;
    }
}

void FleetView::onPause(Duration pause, TimePoint now)
{
    for (auto &[host, member] : m_members) {
        member.silentSince = std::min(member.silentSince + pause, now);
        if (member.disconnectedAt != TimePoint()) {
            member.disconnectedAt = std::min(member.disconnectedAt + pause, now);
        }
    }
}

std::vector<FleetMember> FleetView::removeUnresponsive(TimePoint now)
{
    std::vector<FleetMember> unresponsive;
    for (auto it = m_members.begin(); it != m_members.end();) {
        if (isLive(it->second, now)) {
            ++it;
        } else {
            unresponsive.push_back(std::move(it->second));
            it = m_members.erase(it);
        }
    }
    return unresponsive;
}

std::optional<FleetMember> FleetView::remove(const std::string &host)
{
    const auto removed = m_members.extract(host);
    return removed.empty() ? std::nullopt : std::optional(removed.mapped());
}

bool FleetView::isLive(const std::string &host, TimePoint now) const
{
    const auto found = m_members.find(host);
    return found != m_members.end() && isLive(found->second, now);
}

bool FleetView::isLive(const FleetMember &member, TimePoint now)
{
    const bool disconnected = member.disconnectedAt != TimePoint() && now - member.disconnectedAt > ReconnectGrace;
    return !disconnected && member.lastReportAt != TimePoint() && now - member.silentSince <= longestSilence(member.report.period);
}

bool FleetView::isLive(const std::string &host, std::uint64_t incarnation, TimePoint now) const
{
    const auto found = m_members.find(host);
    return found != m_members.end() && found->second.report.incarnation == incarnation && isLive(found->second, now);
}

Duration FleetView::longestSilence(Duration period)
{
    return period * UnresponsivePeriods + UnresponsiveMargin;
}

std::vector<const FleetMember *> FleetView::liveMembers(TimePoint now) const
{
    std::vector<const FleetMember *> members;
    for (const auto &[host, member] : m_members) {
        if (isLive(member, now)) {
            members.push_back(&member);
        }
    }
    return members;
}

std::size_t FleetView::liveCount(TimePoint now) const
{
    return static_cast<std::size_t>(std::count_if(m_members.begin(), m_members.end(), [now](const auto &entry) {
        return isLive(entry.second, now);
    }));
}

std::size_t FleetView::liveCountOfZone(const std::string &zone, TimePoint now) const
{
    return static_cast<std::size_t>(std::count_if(m_members.begin(), m_members.end(), [&](const auto &entry) {
        return entry.second.report.zone == zone && isLive(entry.second, now);
    }));
}

const FleetMember *FleetView::find(const std::string &host) const
{
    const auto found = m_members.find(host);
    return found == m_members.end() ? nullptr : &found->second;
}
} // namespace Anvilcart::Fleet
