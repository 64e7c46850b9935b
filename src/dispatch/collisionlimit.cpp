#include "dispatch/collisionlimit.h"

#include <algorithm>

namespace Anvilcart
{
namespace
{
constexpr Duration ShortestBackoff = Milliseconds(20);
constexpr Duration LongestBackoff = Milliseconds(500);
constexpr int Growth = 2;
} // namespace

void CollisionLimit::onCollision(std::uint32_t accepted, TimePoint now)
{
    const bool sameProbe = m_most == accepted;
    m_most = accepted;
    m_step = 1;
    if (!sameProbe) {
        m_backoff = std::clamp(m_backoff * Growth, ShortestBackoff, LongestBackoff);
    }
    m_liftAt = now + m_backoff;
}

void CollisionLimit::onTick(std::uint32_t slots, TimePoint now)
{
    if (m_most == Unlimited || now < m_liftAt) {
        return;
    }
    m_most += m_step;
    m_step *= Growth;
    m_liftAt = now + m_backoff;
    if (m_most > slots) {
        m_most = Unlimited;
        m_backoff = Duration::zero();
    }
}

std::uint32_t CollisionLimit::most() const
{
    return m_most;
}
} // namespace Anvilcart
