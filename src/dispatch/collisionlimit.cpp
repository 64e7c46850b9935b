#include "dispatch/collisionlimit.h"

#include <algorithm>

namespace Anvilcart
{
namespace
{
constexpr Duration MinBackoff = Milliseconds(20);
constexpr Duration MaxBackoff = Milliseconds(500);
constexpr int GrowthFactor = 2;
} // namespace

void CollisionLimit::onCollision(std::uint32_t accepted, TimePoint now)
{
    const bool sameLimit = m_taskLimit == accepted;
    m_taskLimit = accepted;
    m_step = 1;
    if (!sameLimit) {
        m_backoff = std::clamp(m_backoff * GrowthFactor, MinBackoff, MaxBackoff);
    }
    m_raiseAt = now + m_backoff;
}

void CollisionLimit::onTick(std::uint32_t slots, TimePoint now)
{
    if (m_taskLimit == Unlimited || now < m_raiseAt) {
        return;
    }
    m_taskLimit += m_step;
    m_step *= GrowthFactor;
    m_raiseAt = now + m_backoff;
    if (m_taskLimit > slots) {
        m_taskLimit = Unlimited;
        m_backoff = Duration::zero();
    }
}

std::uint32_t CollisionLimit::taskLimit() const
{
    return m_taskLimit;
}
} // namespace Anvilcart
