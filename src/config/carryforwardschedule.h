#pragma once

#include "kernel/time.h"

#include <string>

namespace Anvilcart
{
/// Decides when this host repeats the current version in the log, before the log forgets it. Hosts wait for different times,
/// so that usually one of them repeats it and the others see that. Not thread-safe.
class CarryForwardSchedule
{
public:
    /// A host that has just started and sees nobody repeat the version is due after its own delay alone.
    CarryForwardSchedule(const std::string &host, Duration period, TimePoint now);

    /// Tells that a record that carries the current version forward was read.
    void onCarriedForward(TimePoint now);

    /// Tells that this host has tried to append one; the next try is due a tenth of the period later.
    void onAttempt(TimePoint now);

    /// True where this host is to append a carry-forward record now.
    bool isDue(TimePoint now) const;

private:
    Duration m_period;
    Duration m_ownDelay;
    TimePoint m_lastCarried;
    TimePoint m_nextAttempt;
};
} // namespace Anvilcart
