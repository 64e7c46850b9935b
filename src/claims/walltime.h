#pragma once

#include "kernel/time.h"

#include <chrono>

namespace Anvilcart
{
/// A time that hosts can compare, as far as their clocks agree. Only records of the log carry it; see MaxClockSkew.
using WallTime = std::chrono::sys_time<Milliseconds>;

/// How far the wall clocks of two hosts may be apart. A claim is given up this long before it expires.
constexpr Milliseconds MaxClockSkew {1000};

/// The wall clock of this host. Thread-safe.
inline WallTime wallNow()
{
    return std::chrono::time_point_cast<Milliseconds>(std::chrono::system_clock::now());
}
} // namespace Anvilcart
