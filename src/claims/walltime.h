#pragma once

#include "kernel/time.h"

#include <chrono>

namespace Anvilcart
{
/// Wall-clock time, comparable between hosts to within MaxClockSkew. Used only in log records.
using WallTime = std::chrono::sys_time<Milliseconds>;

/// The largest difference between the wall clocks of two hosts. Tasks are not started within this time before their claim expires.
constexpr Milliseconds MaxClockSkew {1000};

/// The current wall-clock time of this host. Thread-safe.
inline WallTime wallNow()
{
    return std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now());
}
} // namespace Anvilcart
