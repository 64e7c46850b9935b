#include "dispatch/jobschedule.h"

namespace Anvilcart
{
void JobSchedule::add(TimePoint at, JobId id)
{
    m_entries.emplace(at, id);
}

void JobSchedule::remove(TimePoint at, JobId id)
{
    m_entries.erase({at, id});
}

std::optional<JobId> JobSchedule::popDue(TimePoint now)
{
    if (m_entries.empty() || m_entries.begin()->first > now) {
        return std::nullopt;
    }
    const auto id = m_entries.begin()->second;
    m_entries.erase(m_entries.begin());
    return id;
}
} // namespace Anvilcart
