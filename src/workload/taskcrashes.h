#pragma once

#include <cstdint>

namespace Anvilcart::Fleet
{
/// What is known of the targets that were lost while they ran one task of a job.
struct TaskCrashes
{
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    /// The number of targets that were lost under the task.
    std::uint32_t lostTargets = 0;
    /// How many of them are known to have crashed: they have restarted since.
    std::uint32_t crashedTargets = 0;
    /// On how many of them it was alone.
    std::uint32_t lostAlone = 0;
    /// The task may have crashed them, so it runs alone on its target.
    bool suspected = false;

    bool operator==(const TaskCrashes &) const = default;
};
} // namespace Anvilcart::Fleet
