#pragma once

#include "scheduling/jobsubmission.h"

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace Anvilcart::Fleet
{
/// Submissions that wait until a job of another route with the same id has ended here. Targets name tasks by the id of their job, so that
/// two such jobs can't be told apart on the targets of one dispatcher. Not thread-safe.
class CollidingJobs
{
public:
    /// Adds a submission; it replaces an earlier one of the same job by the same entry host.
    void add(JobSubmission submission);

    /// Removes and returns the submissions for which this is true, in the order of their arrival.
    std::vector<JobSubmission> take(const std::function<bool(const JobSubmission &)> &isMeant);

    const std::vector<JobSubmission> &submissions() const;

    /// The number of tasks of all submissions, which bounds their memory.
    std::size_t taskCount() const;

private:
    std::vector<JobSubmission> m_submissions;
};
} // namespace Anvilcart::Fleet
