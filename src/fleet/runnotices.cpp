#include "fleet/runnotices.h"

namespace Anvilcart::Fleet
{
namespace
{
/// A frame may be lost with its connection. A dispatcher that is silent for longer than the repetitions take counts as lost.
constexpr int Repetitions = 4;
/// Callers send a job again within their deadline, at most 14 s on the sites.
constexpr Seconds NoticeRetention {15};
} // namespace

void RunNotices::add(const std::string &jobId)
{
    m_remaining[jobId] = Repetitions;
}

std::vector<std::string> RunNotices::takeDue(Duration period, TimePoint now)
{
    std::vector<std::string> jobs;
    std::erase_if(m_namedAt, [now](const auto &entry) {
        return now - entry.second > NoticeRetention;
    });
    if (now < m_nextAt || m_remaining.empty()) {
        return jobs;
    }
    m_nextAt = now + period;
    for (auto entry = m_remaining.begin(); entry != m_remaining.end();) {
        jobs.push_back(entry->first);
        m_namedAt[entry->first] = now;
        entry = --entry->second == 0 ? m_remaining.erase(entry) : std::next(entry);
    }
    return jobs;
}

std::vector<std::string> RunNotices::recent(TimePoint now) const
{
    std::vector<std::string> jobs;
    for (const auto &[jobId, namedAt] : m_namedAt) {
        if (now - namedAt <= NoticeRetention) {
            jobs.push_back(jobId);
        }
    }
    return jobs;
}
} // namespace Anvilcart::Fleet
