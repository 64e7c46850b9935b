#pragma once

#include "config/configuration.h"

#include <cstdint>
#include <vector>

namespace Anvilcart
{
/// Has one bit for each distinct capacity among the targets of a zone.
using TargetMask = std::uint64_t;

/// The distinct capacities of a zone's targets. Groups tasks by the targets that they fit. Not thread-safe.
class CapacityClasses
{
public:
    /// Sets the capacities from the targets of the zone. Invalidates masks returned earlier.
    void apply(const std::vector<TargetSpec> &targets, const std::string &zone);

    /// The mask of the capacities that a task of this size fits. Tasks with equal masks fit the same targets.
    TargetMask maskOf(const TaskSize &size) const;

private:
    std::vector<TaskSize> m_capacities;
};

/// True if a task of this size fits the capacity. Thread-safe.
bool fits(const TaskSize &size, const TaskSize &capacity);
} // namespace Anvilcart
