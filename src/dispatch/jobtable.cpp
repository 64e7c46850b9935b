#include "dispatch/jobtable.h"

namespace Anvilcart
{
JobRecord &JobTable::add(JobSpec spec, AnswerHandler answer, TimePoint now)
{
    auto job = std::make_unique<JobRecord>();
    job->id = ++m_lastId;
    job->spec = std::move(spec);
    job->answerHandler = std::move(answer);
    job->arrivedAt = now;
    job->tasks.resize(job->spec.tasks.size());
    for (std::uint32_t i = job->tasks.size(); i > 0; --i) {
        job->queued.push_back(i - 1);
    }
    m_bySubmission[job->spec.submission] = job->id;
    auto &record = *job;
    m_jobs.emplace(record.id, std::move(job));
    return record;
}

bool JobTable::contains(const std::string &submission) const
{
    return m_bySubmission.contains(submission);
}

JobRecord *JobTable::find(JobId id)
{
    const auto found = m_jobs.find(id);
    return found != m_jobs.end() ? found->second.get() : nullptr;
}

JobRecord *JobTable::find(const std::string &submission)
{
    const auto found = m_bySubmission.find(submission);
    return found != m_bySubmission.end() ? find(found->second) : nullptr;
}

void JobTable::markAnswered(JobRecord &job)
{
    job.answered = true;
    m_bySubmission.erase(job.spec.submission);
}

void JobTable::remove(JobId id)
{
    m_jobs.erase(id);
}

std::size_t JobTable::size() const
{
    return m_jobs.size();
}

std::vector<JobId> JobTable::ids() const
{
    std::vector<JobId> ids;
    ids.reserve(m_jobs.size());
    for (const auto &[id, job] : m_jobs) {
        ids.push_back(id);
    }
    return ids;
}
} // namespace Anvilcart
