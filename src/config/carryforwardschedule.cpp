#include "config/carryforwardschedule.h"

#include <xxhash.h>

namespace Anvilcart
{
namespace
{
constexpr int AttemptsPerPeriod = 10;
constexpr std::uint64_t DelaySteps = 1000;

/// From nothing to a tenth of the period, alike at every start of this host.
Duration ownDelay(const std::string &host, Duration period)
{
    const auto step = XXH64(host.data(), host.size(), 0) % DelaySteps;
    return period / AttemptsPerPeriod * step / DelaySteps;
}
} // namespace

CarryForwardSchedule::CarryForwardSchedule(const std::string &host, Duration period, TimePoint now)
    : m_period(period)
    , m_ownDelay(ownDelay(host, period))
    , m_lastCarried(now - period)
    , m_nextAttempt(now)
{
}

void CarryForwardSchedule::onCarriedForward(TimePoint now)
{
    m_lastCarried = now;
}

void CarryForwardSchedule::onAttempt(TimePoint now)
{
    m_nextAttempt = now + m_period / AttemptsPerPeriod;
}

bool CarryForwardSchedule::isDue(TimePoint now) const
{
    return now >= m_lastCarried + m_period + m_ownDelay && now >= m_nextAttempt;
}
} // namespace Anvilcart
