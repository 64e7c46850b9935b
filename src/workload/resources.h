#pragma once

#include <cstdint>

namespace Anvilcart::Fleet
{
/// Resources that a task requires or a target provides.
struct Resources
{
    /// Thousandths of a core.
    std::int64_t milliCores = 0;
    std::int64_t memoryMb = 0;
    std::int64_t accelerators = 0;

    bool operator==(const Resources &) const = default;

    Resources &operator+=(const Resources &other)
    {
        milliCores += other.milliCores;
        memoryMb += other.memoryMb;
        accelerators += other.accelerators;
        return *this;
    }

    Resources &operator-=(const Resources &other)
    {
        milliCores -= other.milliCores;
        memoryMb -= other.memoryMb;
        accelerators -= other.accelerators;
        return *this;
    }

    /// Returns whether demand fits into the part of this capacity that is not used.
    bool hasCapacityFor(const Resources &demand, const Resources &used) const
    {
        return used.milliCores + demand.milliCores <= milliCores && used.memoryMb + demand.memoryMb <= memoryMb
            && used.accelerators + demand.accelerators <= accelerators;
    }
};
} // namespace Anvilcart::Fleet
