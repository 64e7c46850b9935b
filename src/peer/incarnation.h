#pragma once

#include "peer/peerframe.h"

#include <chrono>
#include <random>

namespace Anvilcart
{
/// Makes an identifier for this run of the process: the start time in milliseconds, followed by random bits. Thread-safe.
inline Incarnation makeIncarnation()
{
    constexpr int RandomBits = 16;
    constexpr std::uint64_t RandomMask = (1U << RandomBits) - 1;
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
    return (static_cast<std::uint64_t>(milliseconds) << RandomBits) | (std::random_device()() & RandomMask);
}
} // namespace Anvilcart
