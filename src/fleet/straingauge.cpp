#include "fleet/straingauge.h"

#include <algorithm>

namespace Anvilcart::Fleet
{
namespace
{
/// Weight of a new delay: about the last ten timers count, a quarter of a second.
constexpr double DelayWeight = 0.1;
/// Timers of a host that keeps up fire within a few milliseconds; this much costs a short job a quarter of its objective.
constexpr Milliseconds StrainedDelay {30};
/// Longer than a slow spell is likely to last, and far longer than a hand-over takes.
constexpr Seconds StrainMemory {10};
/// A single pause of the whole process says nothing of its processor: alone it stays below the limit.
constexpr Milliseconds LongestDelay {250};
} // namespace

void StrainGauge::onDelay(Duration delay, TimePoint now)
{
    const auto counted = std::clamp<Duration>(delay, Duration(0), LongestDelay);
    m_delay += std::chrono::duration_cast<Duration>((counted - m_delay) * DelayWeight);
    if (m_delay > StrainedDelay) {
        m_everStrained = true;
        m_strainedAt = now;
    }
}

Duration StrainGauge::delay() const
{
    return m_delay;
}

bool StrainGauge::isStrained(TimePoint now) const
{
    return m_everStrained && now - m_strainedAt < StrainMemory;
}
} // namespace Anvilcart::Fleet
