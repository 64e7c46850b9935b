#pragma once

#include "config/configuration.h"
#include "dispatch/capacityclasses.h"
#include "dispatch/interfaces/targetport.h"
#include "dispatch/runtimeestimator.h"
#include "dispatch/taskstate.h"
#include "dispatch/teamtable.h"
#include "kernel/time.h"
#include "model/job.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace Anvilcart
{
using JobId = std::uint64_t;
using AnswerHandler = std::function<void(JobAnswer)>;

/// One task of a job in progress.
struct TaskRecord
{
    TaskState state = TaskState::Queued;
    std::uint32_t attempt = 0;
    TargetIndex target = 0;
    TimePoint sentAt;
    RunTimeEstimate runTime;
    /// The capacities that the task fits.
    TargetMask targetMask = 0;
    std::string output;
};

/// One submission in progress. It stays in the table until all its sent tasks have an outcome, even if it is already answered.
struct JobRecord
{
    JobId id = 0;
    JobSpec spec;
    AnswerHandler answerHandler;
    std::shared_ptr<const Configuration> configuration;
    TeamIndex team = 0;
    TimePoint arrivedAt;
    TimePoint deadline;
    /// When the claims expire: no task is started at or after this time.
    TimePoint startBefore = TimePoint::max();
    std::vector<TaskRecord> tasks;
    /// The indices of the tasks to start; the last element is started next.
    std::vector<std::uint32_t> queued;
    /// The sum of the expected run times of the queued tasks.
    Duration queuedWork {};
    /// When the deadline becomes unreachable unless more tasks have started by then.
    TimePoint latestStart;
    std::uint32_t sentTasks = 0;
    std::uint32_t finishedTasks = 0;
    bool awaitsClaims = false;
    bool mayHaveRun = false;
    bool answered = false;
};

/// All submissions in progress on this host. Not thread-safe: used only on the decision loop.
class JobTable
{
public:
    /// Adds a submission. Precondition: contains() is false for its id.
    JobRecord &add(JobSpec spec, AnswerHandler answer, TimePoint now);

    /// True if there is an unanswered submission with this id.
    bool contains(const std::string &submission) const;

    /// The record, or null.
    JobRecord *find(JobId id);

    /// The unanswered record with this submission id, or null.
    JobRecord *find(const std::string &submission);

    /// Marks the job as answered. Its submission id no longer finds it, for example to cancel it.
    void markAnswered(JobRecord &job);

    /// Removes a record.
    void remove(JobId id);

    /// The number of records, including answered jobs that still have tasks at targets.
    std::size_t size() const;

    /// The ids of all records.
    std::vector<JobId> ids() const;

private:
    JobId m_lastId = 0;
    std::unordered_map<JobId, std::unique_ptr<JobRecord>> m_jobs;
    std::unordered_map<std::string, JobId> m_bySubmission;
};
} // namespace Anvilcart
