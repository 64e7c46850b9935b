#include "scheduling/overloadpolicy.h"

#include <algorithm>

namespace Anvilcart::Fleet
{
namespace
{
/// The capacity is short when at least this many jobs for each target are forecast to miss their objective. Fewer are the rest of a queue
/// that drains: with one job, a few seconds after the loss of some targets cost 2% of the callers a late answer that they would have got.
constexpr double MissesPerTarget = 0.25;
/// Routes of which no task was started for this long are exempt from refusals.
constexpr Seconds ServedPeriod {1};
/// A demand below this share of another one counts as smaller. With 0.9, capacity is reserved among tasks of about the same size too, which
/// costs jobs of many tasks a tenth of their answers in time.
constexpr double SmallerDemandRatio = 0.5;

double shareOf(std::int64_t demand, std::int64_t capacity)
{
    return capacity > 0 ? static_cast<double>(demand) / static_cast<double>(capacity) : 0;
}
} // namespace

void OverloadPolicy::onStarted(const std::string &route, TimePoint now)
{
    m_lastStarts[route] = now;
}

bool OverloadPolicy::refuses(const std::string &route, Timeliness timeliness, const CapacityShortage &shortage, TimePoint now) const
{
    const bool isShort = static_cast<double>(shortage.jobsForecastToMiss) >= MissesPerTarget * static_cast<double>(shortage.targets);
    if (timeliness == Timeliness::InTime || shortage.jobsForecastToMiss == 0 || !isShort) {
        return false;
    }
    const auto lastStart = m_lastStarts.find(route);
    return lastStart != m_lastStarts.end() && now - lastStart->second <= ServedPeriod;
}

double dominantShare(const Resources &demand, const Resources &capacity)
{
    return std::max({shareOf(demand.milliCores, capacity.milliCores),
                     shareOf(demand.memoryMb, capacity.memoryMb),
                     shareOf(demand.accelerators, capacity.accelerators)});
}

bool needsReservation(double share, double smallestShare)
{
    return smallestShare < SmallerDemandRatio * share;
}
} // namespace Anvilcart::Fleet
