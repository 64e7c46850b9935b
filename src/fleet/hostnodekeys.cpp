#include "fleet/hostnode.h"
#include "workload/jobkey.h"

#include <optional>
#include <utility>

// HostNode's translation between the keys of jobs and the ids by which targets, and hosts of earlier versions, name them.
namespace Anvilcart::Fleet
{
namespace
{
/// The only one of the keys that has this id, or the id where there are several or none.
class KeySearch
{
public:
    explicit KeySearch(std::string id)
        : m_id(std::move(id))
    {
    }

    void add(const std::string &key)
    {
        if (jobIdOf(key) == m_id && key != m_found) {
            m_isAmbiguous = m_found.has_value();
            m_found = key;
        }
    }

    std::string result() const
    {
        return m_found && !m_isAmbiguous ? *m_found : m_id;
    }

private:
    std::string m_id;
    std::optional<std::string> m_found;
    bool m_isAmbiguous = false;
};
} // namespace

/// A submission as the scheduler takes it: its tasks are named by the caller's id at the targets.
JobSubmission HostNode::namedAtTargets(JobSubmission submission)
{
    submission.key = submission.request.id;
    submission.request.id = jobIdOf(submission.key);
    return submission;
}

/// Replaces the ids in a frame of an earlier version by the keys of the jobs that this host knows by them.
void HostNode::completeKeys(FleetFrame &frame) const
{
    const auto &host = frame.host;
    const auto isKnown = [this](const std::string &key) {
        return !routeOf(key).empty() || m_jobs.contains(key);
    };
    const auto complete = [&](std::string &key, std::uint64_t number) {
        if (isKnown(key)) {
            return;
        }
        KeySearch search(key);
        for (const auto &[other, job] : m_jobs) {
            const bool isAtHost = job.dispatcher == host || job.previousDispatcher == host;
            if (isAtHost && (number == 0 || number == job.submission.number || number == job.previousSubmissionNumber)) {
                search.add(other);
            }
        }
        key = search.result();
    };
    for (auto &notice : frame.ended) {
        complete(notice.jobId, notice.submissionNumber);
    }
    for (auto &notice : frame.crashNotices) {
        complete(notice.jobId, 0);
    }
    for (auto &notice : frame.longRuns) {
        complete(notice.jobId, notice.submissionNumber);
    }
    for (auto &confirmed : frame.confirmedCancellations) {
        if (isKnown(confirmed.jobId)) {
            continue;
        }
        KeySearch search(confirmed.jobId);
        for (const auto &owed : m_owedCancellations.cancellationsAt(host)) {
            search.add(owed.jobId);
        }
        confirmed.jobId = search.result();
    }
    for (auto &key : frame.cancelInquiries) {
        if (!isKnown(key)) {
            KeySearch search(key);
            for (const auto &[other, job] : m_jobs) {
                search.add(other);
            }
            key = search.result();
        }
    }
    for (auto &answer : frame.cancelAnswers) {
        if (isKnown(answer.jobId)) {
            continue;
        }
        KeySearch search(answer.jobId);
        for (const auto &key : m_cancelInquiries.jobs()) {
            search.add(key);
        }
        for (const auto &key : m_cancelAnnouncements.jobs()) {
            search.add(key);
        }
        answer.jobId = search.result();
    }
}
} // namespace Anvilcart::Fleet
