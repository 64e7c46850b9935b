#pragma once

#include "kernel/time.h"

#include <cstddef>
#include <string>
#include <unordered_set>

namespace Anvilcart::Fleet
{
/// Remembers which jobs recently had a run here, so that a resubmitted job is not reported as never run.
/// Not thread-safe.
class RecentJobs
{
public:
    void record(const std::string &jobId, TimePoint now);
    bool contains(const std::string &jobId) const;

    /// The number of remembered jobs.
    std::size_t size() const;

private:
    /// Jobs recorded in the current time span and in the previous one.
    std::unordered_set<std::string> m_currentSpan;
    std::unordered_set<std::string> m_previousSpan;
    TimePoint m_currentSpanStart;
};
} // namespace Anvilcart::Fleet
