#pragma once

#include "scheduling/jobsubmission.h"
#include "workload/targetcalls.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Anvilcart::Fleet
{
/// The state of a task.
enum class TaskPhase {
    /// A step that it depends on has not completed.
    Blocked,
    Waiting,
    Assigned,
    Done,
};

/// Whether a waiting job can still be answered in time.
enum class Timeliness {
    /// It can meet its objective.
    InTime,
    /// It will miss its objective.
    Late,
    /// The answer would come too late to be useful, though the caller may still wait.
    Overdue,
};

/// The wait of a task for a place near its data or its group. A task waits at most once.
enum class NearWait {
    None,
    /// Until ScheduledTask::nearWaitUntil.
    InProgress,
    /// No near target could be used any more.
    GivenUp,
    /// The task was started.
    Ended,
};

/// Where the tasks of a rack-local step run.
struct StepRack
{
    std::string rack;
    TimePoint chosenAt;
    /// A task of the step has been started.
    bool hasStarted = false;
    /// The tasks may run anywhere, since waiting for one rack does not pay.
    bool isGivenUp = false;
    /// Tasks were started on more than one rack.
    bool isSplit = false;
};

/// One task of a job at its dispatcher.
struct ScheduledTask
{
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    TaskPhase phase = TaskPhase::Blocked;
    std::string target;
    /// Of the run that was started or found last.
    std::uint32_t lastRunNumber = 0;
    /// The highest number of any run that was started or found.
    std::uint32_t highestRunNumber = 0;
    std::uint32_t failures = 0;
    /// The target on which the task succeeded, and how long it ran there.
    std::string completedOn;
    Duration runTime {0};
    NearWait nearWait = NearWait::None;
    TimePoint nearWaitSince;
    TimePoint nearWaitUntil;
    /// Targets on which a run of the task failed or hung.
    std::set<std::string> avoidedTargets;

    /// True while it waits for a place near its data or its group.
    bool isWaitingForNear(TimePoint now) const;
};

/// A job at its dispatcher, from submission to end.
class ScheduledJob
{
public:
    explicit ScheduledJob(JobSubmission jobSubmission);

    /// Marks a task as done and unblocks the steps whose dependencies have all completed.
    void onTaskDone(ScheduledTask &task);

    /// Marks a task whose run has ended otherwise as waiting, or as blocked while its step is.
    void returnTask(ScheduledTask &task);

    /// Assigns a task to a run that was found on a target.
    static void assign(ScheduledTask &task, const std::string &target, std::uint32_t runNumber);

    /// Recomputes waitingTasks and remainingCoreMs.
    void updateRemainingWork();

    /// The task with this name, or null.
    ScheduledTask *find(const TaskName &name);

    bool isDone() const;
    std::size_t count(TaskPhase phase) const;

    /// True while each task that could start waits for a place near its data or its group.
    bool isWaitingForNear(TimePoint now) const;

    /// True once a start was sent: the job may have run.
    bool hasStarted() const;

    JobSubmission submission;
    std::vector<ScheduledTask> tasks;
    bool started = false;
    /// Set when the job is ending: its result, which takes effect when its last run has ended.
    std::optional<JobResult> pendingResult;
    /// The entry host has the result already, or has cancelled the job and expects none.
    bool resultReported = false;
    /// A further submission of the same job that arrived while this one is ending.
    std::optional<JobSubmission> resubmission;
    /// For each step, the expected run time of a task on a target of ordinary speed; computed once, since the queue reads it often.
    std::vector<Duration> expectedRunTimes;
    /// The number of waiting tasks, as of the last update.
    std::size_t waitingTasks = 0;
    /// The expected processor time of all tasks that have not started, in core-milliseconds, as of the last update.
    double remainingCoreMs = 0;
    /// Expected duration of the longest chain of dependent tasks.
    Duration criticalPath {0};
    TimePoint objectiveAt;
    double rank = 0;
    /// Its start tag, and the core-milliseconds that are charged to its route; see FairQueueClock. urgencyLead is subtracted from the tag
    /// when an urgent job is ranked.
    double startTag = 0;
    double chargedCoreMs = 0;
    double urgencyLead = 0;
    /// As of the last ranking.
    Timeliness timeliness = Timeliness::InTime;
    std::set<std::string> failedTargets;
    /// By the indexes of the rack-local steps for which a rack was chosen.
    std::map<std::uint32_t, StepRack> rackOfStep;

private:
    void unblockSteps();

    std::vector<std::uint32_t> m_unfinishedTasksOfStep;
    std::size_t m_completedTasks = 0;
};
} // namespace Anvilcart::Fleet
