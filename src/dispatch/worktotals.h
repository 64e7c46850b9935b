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
    /// Adds the work of a job with this number of unstarted tasks; negative work subtracts it.
    void add(std::size_t unstarted, Duration work);

    /// The work of all jobs with at most this number of unstarted tasks.
    Duration upTo(std::size_t unstarted) const;

    /// The work of all jobs.
    Duration total() const;

private:
    /// Jobs with more unstarted tasks are counted as having this number.
    static constexpr std::size_t MaxUnstarted = 1024;

    std::array<Duration, MaxUnstarted + 1> m_sums {};
    Duration m_total {};
};
} // namespace Anvilcart
