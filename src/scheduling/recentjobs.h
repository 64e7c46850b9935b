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

    /// Jobs that had a run before this time may be missing. mayContain() is then true for every job until its callers have given up.
    void markIncomplete(TimePoint now);

    /// False only when it is certain that the job had no run.
    bool mayContain(const std::string &jobId, TimePoint now) const;

    /// The number of remembered jobs.
    std::size_t size() const;

private:
    /// Jobs recorded in the current time span and in the previous one.
    std::unordered_set<std::string> m_currentSpan;
    std::unordered_set<std::string> m_previousSpan;
    TimePoint m_currentSpanStart;
    /// When jobs were last missed; TimePoint() when none were.
    TimePoint m_incompleteAt;
};
} // namespace Anvilcart::Fleet
