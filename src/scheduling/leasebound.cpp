#include "scheduling/leasebound.h"

#include "scheduling/targetclock.h"

#include <algorithm>

namespace Anvilcart::Fleet
{
namespace
{
/// Added to the computed end of leases for timer delays on both hosts.
constexpr Milliseconds LeaseMargin {60};
} // namespace

LeaseBound::LeaseBound(Duration maxLease)
    : m_maxLease(maxLease)
{
}

void LeaseBound::onClaimed(TimePoint readAt)
{
    onLongestLease(readAt);
}

void LeaseBound::onLongestLease(TimePoint readAt)
{
    m_isKnown = true;
    m_time = std::max(m_time, readAt + m_maxLease + TargetClock::driftDuring(m_maxLease) + LeaseMargin);
}

TimePoint LeaseBound::endOfRequest(Duration length, Duration clockAge, TimePoint now)
{
    return now + length + TargetClock::driftDuring(length + clockAge) + LeaseMargin;
}

void LeaseBound::onRequest(Duration length, Duration clockAge, TimePoint sentAt)
{
    m_time = std::max(m_time, endOfRequest(length, clockAge, sentAt));
}

bool LeaseBound::hasPassed(TimePoint now) const
{
    return m_isKnown && now >= m_time;
}

TimePoint LeaseBound::endsBy() const
{
    return m_time;
}
} // namespace Anvilcart::Fleet
