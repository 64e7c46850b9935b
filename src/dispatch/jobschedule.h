#pragma once

#include "dispatch/jobtable.h"

#include <optional>
#include <set>
#include <utility>

namespace Anvilcart
{
/// Jobs in progress, ordered by the time at which each must be checked. Not thread-safe: used only on the decision loop.
class JobSchedule
{
public:
    /// Adds a job. Logarithmic.
    void add(TimePoint at, JobId id);

    /// Removes a job that was added for this time, if it is still there. Logarithmic.
    void remove(TimePoint at, JobId id);

    /// Removes and returns the earliest job that is due, or returns nothing.
    std::optional<JobId> popDue(TimePoint now);

private:
    std::set<std::pair<TimePoint, JobId>> m_entries;
};
} // namespace Anvilcart
