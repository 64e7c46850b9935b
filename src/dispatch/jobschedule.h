#pragma once

#include "dispatch/jobtable.h"

#include <optional>
#include <set>
#include <utility>

namespace Anvilcart
{
/// The points in time at which each job in progress must be looked at again. Not thread-safe: the decision loop's.
class JobSchedule
{
public:
    /// Adds a job. Logarithmic.
    void add(TimePoint at, JobId id);

    /// Takes a job out that was added for this time; nothing happens when it is gone. Logarithmic.
    void remove(TimePoint at, JobId id);

    /// Takes out the earliest job whose time has come, or nothing.
    std::optional<JobId> takeDue(TimePoint now);

private:
    std::set<std::pair<TimePoint, JobId>> m_entries;
};
} // namespace Anvilcart
