#pragma once

#include "kernel/time.h"

namespace Anvilcart::Fleet
{
/// Detects from the delay of a host's timers that its processor does not keep up with its work. Not thread-safe.
class OverloadDetector
{
public:
    /// Records that a timer fired this long after it was due.
    void onDelay(Duration delay, TimePoint now);

    /// Moving average of the timer delays.
    Duration averageDelay() const;

    /// True while timers fire late, and for some time after: a host that has handed over its work no longer shows delays, but would
    /// be overloaded again if it got the work back.
    bool isOverloaded(TimePoint now) const;

private:
    Duration m_averageDelay {0};
    bool m_everOverloaded = false;
    TimePoint m_overloadedAt;
};
} // namespace Anvilcart::Fleet
