#pragma once

#include "kernel/time.h"

namespace Anvilcart::Fleet
{
/// Tells from how late a host's timers fire whether its processor keeps up with its work. Not thread-safe.
class StrainGauge
{
public:
    /// A timer fired that much later than it should have.
    void onDelay(Duration delay, TimePoint now);

    /// The delay of the last timers, as a moving average.
    Duration delay() const;

    /// True while timers fire late, and for a while after: a host that handed its work over has time again because of that.
    bool isStrained(TimePoint now) const;

private:
    Duration m_delay {0};
    bool m_everStrained = false;
    TimePoint m_strainedAt;
};
} // namespace Anvilcart::Fleet
