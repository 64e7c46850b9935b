#include "fleet/overloaddetector.h"

#include <algorithm>

namespace Anvilcart::Fleet
{
namespace
{
/// Weight of a new delay in the average, which thus covers about the last ten timers, or a quarter of a second.
constexpr double DelayWeight = 0.1;
/// On a host that keeps up, timers fire within a few milliseconds. A delay of this length costs a short job a quarter of its objective.
constexpr Milliseconds OverloadDelay {30};
/// Longer than most overloads last, and far longer than a hand-over takes.
constexpr Seconds OverloadHoldTime {10};
/// Longer delays count as this one, so that a single pause of the whole process does not reach the limit.
constexpr Milliseconds MaxCountedDelay {250};
} // namespace

void OverloadDetector::onDelay(Duration delay, TimePoint now)
{
    const auto counted = std::clamp<Duration>(delay, Duration(0), MaxCountedDelay);
    m_averageDelay += std::chrono::duration_cast<Duration>((counted - m_averageDelay) * DelayWeight);
    if (m_averageDelay > OverloadDelay) {
        m_everOverloaded = true;
        m_overloadedAt = now;
    }
}

Duration OverloadDetector::averageDelay() const
{
    return m_averageDelay;
}

bool OverloadDetector::isOverloaded(TimePoint now) const
{
    return m_everOverloaded && now - m_overloadedAt < OverloadHoldTime;
}
} // namespace Anvilcart::Fleet
