#include "scheduling/requesttimeout.h"

#include "workload/targetcalls.h"

#include <algorithm>
#include <chrono>

namespace Anvilcart::Fleet
{
namespace
{
constexpr int SmoothedWeight = 8;
constexpr int VariationWeight = 4;
constexpr int VariationMultiple = 4;
/// Single requests are lost without a cause that more time would help against; so many in a row mean a slow link or processor.
constexpr int LossesBeforeBackoff = 3;
constexpr double BackoffFactor = 1.5;
constexpr double BackoffRecovery = 0.9;
} // namespace

Duration RequestTimeout::value() const
{
    const Duration estimate = std::max<Duration>(TargetRequestTimeout, m_smoothed + m_variation * VariationMultiple);
    return std::min<Duration>(MaxTargetRequestTimeout, std::chrono::duration_cast<Duration>(estimate * m_backoff));
}

void RequestTimeout::onReply(TimePoint sentAt, TimePoint now)
{
    const Duration roundTrip = now - sentAt;
    m_lastAnsweredSentAt = std::max(m_lastAnsweredSentAt, sentAt);
    const Duration error = roundTrip > m_smoothed ? roundTrip - m_smoothed : m_smoothed - roundTrip;
    m_variation += (error - m_variation) / VariationWeight;
    m_smoothed += (roundTrip - m_smoothed) / SmoothedWeight;
    m_backoff = std::max(1.0, m_backoff * BackoffRecovery);
    m_lossesInARow = 0;
}

void RequestTimeout::onTimeout(TimePoint sentAt)
{
    if (sentAt <= m_lastAnsweredSentAt) {
        return;
    }
    if (++m_lossesInARow >= LossesBeforeBackoff) {
        m_backoff = std::min(m_backoff * BackoffFactor, static_cast<double>(MaxTargetRequestTimeout / TargetRequestTimeout));
    }
}
} // namespace Anvilcart::Fleet
