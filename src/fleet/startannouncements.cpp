#include "fleet/startannouncements.h"

#include <utility>

namespace Anvilcart::Fleet
{
void StartAnnouncements::add(const JobSubmission &job, RunIdentity run)
{
    auto &notice = m_notices[job.entryHost][job.identity()];
    if (notice.submissionNumber != job.number) {
        notice = {job.identity(), job.number, {}};
    }
    notice.jobId = job.identity();
    notice.runs.push_back(run);
}

void StartAnnouncements::remove(const JobSubmission &job)
{
    const auto found = m_notices.find(job.entryHost);
    if (found == m_notices.end()) {
        return;
    }
    found->second.erase(job.identity());
    if (found->second.empty()) {
        m_notices.erase(found);
    }
}

std::vector<StartedRunsNotice> StartAnnouncements::take(const std::string &entryHost)
{
    std::vector<StartedRunsNotice> taken;
    const auto found = m_notices.find(entryHost);
    if (found == m_notices.end()) {
        return taken;
    }
    for (auto &[key, notice] : found->second) {
        taken.push_back(std::move(notice));
    }
    m_notices.erase(found);
    return taken;
}

std::size_t StartAnnouncements::size() const
{
    std::size_t jobs = 0;
    for (const auto &[entryHost, notices] : m_notices) {
        jobs += notices.size();
    }
    return jobs;
}
} // namespace Anvilcart::Fleet
