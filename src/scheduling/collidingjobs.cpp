#include "scheduling/collidingjobs.h"

#include <algorithm>
#include <utility>

namespace Anvilcart::Fleet
{
void CollidingJobs::add(JobSubmission submission)
{
    const auto known = std::find_if(m_submissions.begin(), m_submissions.end(), [&](const JobSubmission &other) {
        return other.identity() == submission.identity() && other.entryHost == submission.entryHost;
    });
    if (known == m_submissions.end()) {
        m_submissions.push_back(std::move(submission));
    } else if (!areOfOneProcess(known->number, submission.number) || known->number < submission.number) {
        *known = std::move(submission);
    }
}

std::vector<JobSubmission> CollidingJobs::take(const std::function<bool(const JobSubmission &)> &isMeant)
{
    std::vector<JobSubmission> taken;
    std::vector<JobSubmission> kept;
    for (auto &submission : m_submissions) {
        (isMeant(submission) ? taken : kept).push_back(std::move(submission));
    }
    m_submissions = std::move(kept);
    return taken;
}

std::size_t CollidingJobs::taskCount() const
{
    std::size_t tasks = 0;
    for (const auto &submission : m_submissions) {
        tasks += submission.taskCount();
    }
    return tasks;
}

const std::vector<JobSubmission> &CollidingJobs::submissions() const
{
    return m_submissions;
}
} // namespace Anvilcart::Fleet
