#include "fleet/runnotices.h"

namespace Anvilcart::Fleet
{
namespace
{
/// A frame may be lost with its connection. A dispatcher that is silent for longer than the repetitions take counts as lost.
constexpr int Repetitions = 4;
} // namespace

void RunNotices::add(const std::string &jobId)
{
    m_remaining[jobId] = Repetitions;
}

std::vector<std::string> RunNotices::takeDue(Duration period, TimePoint now)
{
    std::vector<std::string> jobs;
    if (now < m_nextAt || m_remaining.empty()) {
        return jobs;
    }
    m_nextAt = now + period;
    for (auto entry = m_remaining.begin(); entry != m_remaining.end();) {
        jobs.push_back(entry->first);
        entry = --entry->second == 0 ? m_remaining.erase(entry) : std::next(entry);
    }
    return jobs;
}
} // namespace Anvilcart::Fleet
