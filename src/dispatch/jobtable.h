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
    /// The capacities that hold the task.
    TargetMask targets = 0;
    std::string output;
};

/// One submission in progress. It stays in the table until its last sent task has an outcome, also after it was answered.
struct JobRecord
{
    JobId id = 0;
    JobSpec spec;
    AnswerHandler answer;
    std::shared_ptr<const Configuration> configuration;
    TeamIndex team = 0;
    TimePoint arrivedAt;
    TimePoint deadline;
    std::vector<TaskRecord> tasks;
    /// The tasks to start, the next one at the back.
    std::vector<std::uint32_t> queued;
    /// The expected run times of the queued tasks, added up.
    Duration queuedWork {};
    /// When the deadline becomes unreachable unless more tasks have started by then.
    TimePoint latestStart;
    std::uint32_t sent = 0;
    std::uint32_t finished = 0;
    bool mayHaveRun = false;
    bool answered = false;
};

/// All submissions in progress on this host. Not thread-safe: the decision loop's.
class JobTable
{
public:
    /// Adds a submission. Precondition: contains() is false for its id.
    JobRecord &add(JobSpec spec, AnswerHandler answer, TimePoint now);

    /// True while an unanswered submission with this id is here.
    bool contains(const std::string &submission) const;

    /// The record, or null.
    JobRecord *find(JobId id);

    /// The unanswered record with this submission id, or null.
    JobRecord *find(const std::string &submission);

    /// Forgets the submission's id, so that the caller may use it no more to cancel.
    void markAnswered(JobRecord &job);

    /// Removes a record.
    void remove(JobId id);

    /// The number of records, answered ones with tasks at targets included.
    std::size_t size() const;

    /// The ids of all records.
    std::vector<JobId> ids() const;

private:
    JobId m_lastId = 0;
    std::unordered_map<JobId, std::unique_ptr<JobRecord>> m_jobs;
    std::unordered_map<std::string, JobId> m_bySubmission;
};
} // namespace Anvilcart
