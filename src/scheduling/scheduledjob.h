#pragma once

#include "scheduling/joborder.h"
#include "workload/targetcalls.h"

#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Anvilcart::Fleet
{
/// Where a task stands.
enum class TaskPhase {
    /// An earlier step has not ended.
    Blocked,
    Waiting,
    Assigned,
    Done,
};

/// What an answer to a waiting job is still worth.
enum class Timeliness {
    /// It can meet its objective.
    InTime,
    /// It can only be late.
    Late,
    /// It would come so late that callers have no use for it, though they may still wait.
    Overdue,
};

/// One task of a job at its dispatcher.
struct ScheduledTask
{
    std::uint32_t step = 0;
    std::uint32_t index = 0;
    TaskPhase phase = TaskPhase::Blocked;
    std::string target;
    std::uint32_t lastRun = 0;
    std::uint32_t failures = 0;
    /// Where the task ended well, and how long it ran there.
    std::string doneOn;
    Duration runTime {0};
    /// Targets on which a run of the task failed or hung.
    std::set<std::string> avoid;
};

/// A job at its dispatcher, from the order to the end.
class ScheduledJob
{
public:
    explicit ScheduledJob(JobOrder jobOrder);

    /// Notes that a task ended well, and frees the steps that waited for it.
    void onTaskDone(ScheduledTask &task);

    /// Counts the tasks that have not started anew.
    void recount();

    /// The task with this name, or null.
    ScheduledTask *find(const TaskName &name);

    bool isDone() const;
    std::size_t count(TaskPhase phase) const;

    /// True from the first start that was sent: the job may have run.
    bool hasStarted() const;

    JobOrder order;
    std::vector<ScheduledTask> tasks;
    bool started = false;
    /// The job ends so as soon as none of its runs is left.
    std::optional<JobResult> ending;
    /// Its entry host wants no result.
    bool cancelled = false;
    /// The same job came again while this one ends.
    std::optional<JobOrder> successor;
    /// Expected run time of a task of each step on a target of ordinary speed; set once, since the queue looks at it often.
    std::vector<Duration> expected;
    /// Of the tasks that have not started, as of the last change: their number, and their expected processor time in core-milliseconds.
    std::size_t waitingTasks = 0;
    double remainingCoreMs = 0;
    /// Expected time of the longest chain of tasks.
    Duration chain {0};
    TimePoint objectiveAt;
    double rank = 0;
    /// Its place among the routes that share the room, and the core-milliseconds that its route pays for it; see FairQueueClock.
    /// A job that is short of time is ranked by so much before its tag.
    double fairTag = 0;
    double fairWork = 0;
    double fairLead = 0;
    /// As the job was last ranked.
    Timeliness timeliness = Timeliness::InTime;
    std::set<std::string> failedTargets;

private:
    void unblockSteps();

    std::vector<std::uint32_t> m_openTasksOfStep;
    std::size_t m_done = 0;
};
} // namespace Anvilcart::Fleet
