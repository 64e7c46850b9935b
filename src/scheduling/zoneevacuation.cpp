#include "scheduling/zoneevacuation.h"

#include <xxhash.h>

#include <algorithm>

namespace Anvilcart::Fleet
{
namespace
{
/// The grace period is the bound divided by this, and ends at least as long before the bound. Most of the rest is for the time in which
/// hosts learn of the evacuation; a start that was sent at the end of the grace period takes effect up to 0.45 s later.
constexpr int GraceDivisor = 4;
/// A cold target begins with this share of its capacity, so that its speed is measured.
constexpr double MinCapacityShare = 0.1;
/// The end of an evacuation is remembered for this long. Targets stay cold for seconds.
constexpr Seconds ReturnRetention {60};
} // namespace

bool ZoneAccess::admits(bool jobHasStarted, TimePoint now) const
{
    return admitsNewJobs || (jobHasStarted && now < admitsStartedJobsUntil);
}

bool ZoneAccess::hasShareFor(std::int64_t demand, std::int64_t used, std::int64_t capacity) const
{
    if (capacityShare >= 1) {
        return true;
    }
    const auto rounding = shareRounding * static_cast<double>(demand);
    return static_cast<double>(used + demand) <= capacityShare * static_cast<double>(capacity) + rounding;
}

ZoneEvacuation::ZoneEvacuation(Duration bound)
    : m_bound(bound)
{
}

void ZoneEvacuation::setZones(const std::set<std::string> &zones, TimePoint checkedAt, TimePoint now)
{
    std::erase_if(m_endedAt, [now](const auto &entry) {
        return now - entry.second > ReturnRetention;
    });
    for (auto it = m_graceEnds.begin(); it != m_graceEnds.end();) {
        if (zones.contains(it->first)) {
            ++it;
        } else {
            m_endedAt[it->first] = now;
            it = m_graceEnds.erase(it);
        }
    }
    const auto gracePeriod = m_bound / GraceDivisor;
    for (const auto &zone : zones) {
        m_graceEnds.try_emplace(zone, std::min(now + gracePeriod, checkedAt + m_bound - gracePeriod));
        m_endedAt.erase(zone);
    }
}

bool ZoneEvacuation::isEvacuated(const std::string &zone) const
{
    return m_graceEnds.contains(zone);
}

bool ZoneEvacuation::isActive() const
{
    return !m_graceEnds.empty();
}

bool ZoneEvacuation::isChanging(TimePoint now) const
{
    return isActive() || std::any_of(m_endedAt.begin(), m_endedAt.end(), [now](const auto &entry) {
               return now - entry.second <= ReturnRetention;
           });
}

ZoneAccess ZoneEvacuation::accessTo(const std::string &zone, const std::string &target, TimePoint coldUntil, TimePoint now) const
{
    ZoneAccess access;
    if (const auto graceEnd = m_graceEnds.find(zone); graceEnd != m_graceEnds.end()) {
        access.admitsNewJobs = false;
        access.admitsStartedJobsUntil = graceEnd->second;
        return access;
    }
    const auto ended = m_endedAt.find(zone);
    if (ended == m_endedAt.end() || now >= coldUntil || now - ended->second > ReturnRetention) {
        return access;
    }
    const auto sinceEnd = toMilliseconds(now - ended->second);
    const auto untilWarm = toMilliseconds(coldUntil - ended->second);
    access.capacityShare = std::clamp(sinceEnd / std::max(1.0, untilWarm), MinCapacityShare, 1.0);
    constexpr std::uint64_t Steps = 1024;
    access.shareRounding = static_cast<double>(XXH64(target.data(), target.size(), 0) % Steps) / static_cast<double>(Steps);
    return access;
}
} // namespace Anvilcart::Fleet
