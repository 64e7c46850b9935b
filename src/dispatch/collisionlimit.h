#pragma once

#include "kernel/time.h"

#include <cstdint>
#include <limits>

namespace Anvilcart
{
/// Limits the tasks of this host at one target after the target refused a task because it had no free slot: another host then
/// uses slots that this host counts as its own. The limit is raised step by step; the steps grow as long as no task is refused.
/// Not thread-safe: used only on the decision loop.
class CollisionLimit
{
public:
    /// The target refused a task while it held `accepted` other tasks of this host.
    void onCollision(std::uint32_t accepted, TimePoint now);

    /// Raises the limit when the backoff has passed, and removes it once it exceeds slots, the number of slots of this host.
    void onTick(std::uint32_t slots, TimePoint now);

    /// The maximum number of tasks of this host at the target.
    std::uint32_t taskLimit() const;

private:
    static constexpr std::uint32_t Unlimited = std::numeric_limits<std::uint32_t>::max();

    std::uint32_t m_taskLimit = Unlimited;
    std::uint32_t m_step = 1;
    Duration m_backoff {};
    TimePoint m_raiseAt;
};
} // namespace Anvilcart
