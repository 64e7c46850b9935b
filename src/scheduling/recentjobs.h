#pragma once

#include "kernel/time.h"

#include <cstddef>
#include <string>
#include <unordered_set>

namespace Anvilcart::Fleet
{
/// Remembers for a while which jobs had a run here, so that a job that is sent again is not said to have never run.
/// Not thread-safe.
class RecentJobs
{
public:
    void note(const std::string &jobId, TimePoint now);
    bool contains(const std::string &jobId) const;

    /// Jobs that are remembered.
    std::size_t size() const;

private:
    /// Jobs noted in the present span of time and in the one before.
    std::unordered_set<std::string> m_present;
    std::unordered_set<std::string> m_earlier;
    TimePoint m_presentSince;
};
} // namespace Anvilcart::Fleet
