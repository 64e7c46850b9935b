#pragma once

#include "kernel/time.h"

#include <cstdint>

namespace Anvilcart::Fleet
{
/// Estimates a target's clock from the readings in its answers. Not thread-safe.
class TargetClock
{
public:
    /// How far a target's clock may lag after this time on this host's clock.
    static Duration driftDuring(Duration time)
    {
        constexpr double MaxDrift = 0.02;
        return std::chrono::duration_cast<Duration>(time * MaxDrift);
    }

    /// Records a reading; clockMs is ignored unless it is above 0.
    void onReading(std::int64_t clockMs, TimePoint receivedAt)
    {
        if (clockMs > 0) {
            m_clockMs = clockMs;
            m_receivedAt = receivedAt;
        }
    }

    /// Discards the last reading because the target has restarted.
    void reset()
    {
        m_clockMs = 0;
    }

    bool isKnown() const
    {
        return m_clockMs > 0;
    }

    /// The estimated current reading; it lags by the network delay of the last reply.
    std::int64_t estimateMs(TimePoint now) const
    {
        return m_clockMs + std::chrono::duration_cast<Milliseconds>(now - m_receivedAt).count();
    }

    /// Time since the last reading.
    Duration age(TimePoint now) const
    {
        return now - m_receivedAt;
    }

private:
    std::int64_t m_clockMs = 0;
    TimePoint m_receivedAt;
};
} // namespace Anvilcart::Fleet
