#pragma once

#include "kernel/time.h"

#include <cstdint>
#include <limits>

namespace Anvilcart
{
/// Bounds the tasks of this host at one target after the target refused one for want of a slot: another host uses slots
/// that this one counts as its own. The bound is lifted by probes, quicker the longer none is refused.
/// Not thread-safe: the decision loop's.
class CollisionLimit
{
public:
    /// The target refused a task while it held so many others of this host.
    void onCollision(std::uint32_t accepted, TimePoint now);

    /// Lifts the bound when its time has come; slots is what this host counts as its own.
    void onTick(std::uint32_t slots, TimePoint now);

    /// The most tasks that this host may hold at the target.
    std::uint32_t most() const;

private:
    static constexpr std::uint32_t Unlimited = std::numeric_limits<std::uint32_t>::max();

    std::uint32_t m_most = Unlimited;
    std::uint32_t m_step = 1;
    Duration m_backoff {};
    TimePoint m_liftAt;
};
} // namespace Anvilcart
