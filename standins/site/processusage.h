#pragma once

#include <cstdint>

namespace Anvilcart
{
/// What a process has used so far.
struct ProcessUsage
{
    double cpuSeconds = 0;
    std::uint64_t memoryKb = 0;
    std::uint64_t peakMemoryKb = 0;
};

/// Reads the usage of a running process. Thread-safe; all zero when there is no such process.
ProcessUsage readUsage(int process);
} // namespace Anvilcart
