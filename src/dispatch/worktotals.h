#pragma once

#include "kernel/time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace Anvilcart
{
/// The expected work of waiting jobs, summed by their number of unstarted tasks (a binary indexed tree: both operations are logarithmic).
/// Not thread-safe.
class WorkTotals
{
public:
    /// Adds work of a job with so many unstarted tasks; negative work takes it out again.
    void add(std::size_t unstarted, Duration work);

    /// The work of all jobs with at most so many unstarted tasks.
    Duration upTo(std::size_t unstarted) const;

    /// The work of all jobs.
    Duration total() const;

private:
    /// Larger jobs are counted with the largest.
    static constexpr std::size_t MostUnstarted = 1024;

    std::array<Duration, MostUnstarted + 1> m_sums {};
    Duration m_total {};
};
} // namespace Anvilcart
