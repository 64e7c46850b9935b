#pragma once

#include "kernel/time.h"

#include <cstdint>
#include <random>
#include <string>

namespace Anvilcart::Emulation
{
/// Draws a time from least to most, both included.
inline Milliseconds drawBetween(std::mt19937_64 &random, Milliseconds least, Milliseconds most)
{
    return least + Milliseconds(random() % static_cast<std::uint64_t>((most - least).count() + 1));
}

/// Draws a host other than this one. There must be another one.
inline std::size_t drawOtherHost(std::mt19937_64 &random, std::size_t hostCount, std::size_t host)
{
    return (host + 1 + random() % (hostCount - 1)) % hostCount;
}

/// The begin and the length of a fault, for descriptions.
inline std::string describeSpan(Milliseconds at, Milliseconds length)
{
    return "at " + std::to_string(at.count()) + " ms for " + std::to_string(length.count()) + " ms";
}
} // namespace Anvilcart::Emulation
