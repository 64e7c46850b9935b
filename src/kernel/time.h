#pragma once

#include <chrono>

namespace Anvilcart
{
/// The clock of every decision: monotonic, so that a step of the wall clock moves no deadline.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;
using Milliseconds = std::chrono::milliseconds;
using Seconds = std::chrono::seconds;

/// A duration as fractional milliseconds, for metrics and answers. Thread-safe.
inline double toMilliseconds(Duration duration)
{
    return std::chrono::duration<double, std::milli>(duration).count();
}
} // namespace Anvilcart
