#include "fleet/cancelannouncements.h"

#include <utility>

namespace Anvilcart::Fleet
{
bool CancelAnnouncements::begin(const std::string &jobId, const std::string &askingHost, std::set<std::string> hosts, TimePoint endAt)
{
    const auto [found, begun] = m_announcements.try_emplace(jobId);
    auto &announcement = found->second;
    if (begun) {
        announcement.unconfirmed = std::move(hosts);
        announcement.endAt = endAt;
    }
    if (askingHost.empty()) {
        announcement.isAskedHere = true;
    } else {
        announcement.askingHosts.insert(askingHost);
        // It remembers the cancellation with the answer.
        announcement.unconfirmed.erase(askingHost);
    }
    return begun;
}

void CancelAnnouncements::onConfirmed(const std::string &jobId, const std::string &host)
{
    const auto found = m_announcements.find(jobId);
    if (found != m_announcements.end()) {
        found->second.unconfirmed.erase(host);
    }
}

void CancelAnnouncements::onHostLost(const std::string &host)
{
    for (auto &[jobId, announcement] : m_announcements) {
        announcement.unconfirmed.erase(host);
    }
}

std::vector<CancelAnnouncements::Finished> CancelAnnouncements::takeFinished(TimePoint now)
{
    std::vector<Finished> finished;
    for (auto it = m_announcements.begin(); it != m_announcements.end();) {
        auto &[jobId, announcement] = *it;
        const bool isConfirmed = announcement.unconfirmed.empty();
        if (!isConfirmed && now < announcement.endAt) {
            ++it;
            continue;
        }
        finished.push_back({jobId, std::move(announcement.askingHosts), announcement.isAskedHere, isConfirmed});
        it = m_announcements.erase(it);
    }
    return finished;
}

std::vector<std::string> CancelAnnouncements::jobs() const
{
    std::vector<std::string> jobs;
    for (const auto &[jobId, entry] : m_announcements) {
        jobs.push_back(jobId);
    }
    return jobs;
}
} // namespace Anvilcart::Fleet
