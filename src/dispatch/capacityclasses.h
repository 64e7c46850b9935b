#pragma once

#include "config/configuration.h"

#include <cstdint>
#include <vector>

namespace Anvilcart
{
/// One bit for each distinct capacity among the targets of a zone.
using TargetMask = std::uint64_t;

/// The distinct capacities of a zone's targets; tells tasks apart by the targets that they fit. Not thread-safe.
class CapacityClasses
{
public:
    /// Takes over the capacities of the zone's targets. Earlier masks lose their meaning.
    void apply(const std::vector<TargetSpec> &targets, const std::string &zone);

    /// The capacities that hold a task of this size. Two tasks with the same mask fit the same targets.
    TargetMask maskOf(const TaskSize &size) const;

private:
    std::vector<TaskSize> m_capacities;
};

/// True where the capacity holds a task of this size. Thread-safe.
bool fits(const TaskSize &size, const TaskSize &capacity);
} // namespace Anvilcart
