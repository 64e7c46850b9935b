#include "scheduling/scheduledjob.h"

#include <algorithm>
#include <utility>

namespace Anvilcart::Fleet
{
ScheduledJob::ScheduledJob(JobSubmission jobSubmission)
    : submission(std::move(jobSubmission))
{
    const auto &steps = submission.request.steps;
    for (std::uint32_t step = 0; step < steps.size(); ++step) {
        m_unfinishedTasksOfStep.push_back(steps[step].taskCount);
        for (std::uint32_t index = 0; index < steps[step].taskCount; ++index) {
            ScheduledTask task;
            task.step = step;
            task.index = index;
            tasks.push_back(std::move(task));
        }
    }
    unblockSteps();
}

void ScheduledJob::onTaskDone(ScheduledTask &task)
{
    if (task.phase == TaskPhase::Done) {
        return;
    }
    task.phase = TaskPhase::Done;
    task.target.clear();
    ++m_completedTasks;
    if (--m_unfinishedTasksOfStep[task.step] == 0) {
        unblockSteps();
    }
}

void ScheduledJob::assign(ScheduledTask &task, const std::string &target, std::uint32_t runNumber)
{
    task.phase = TaskPhase::Assigned;
    task.target = target;
    task.lastRunNumber = runNumber;
    task.highestRunNumber = std::max(task.highestRunNumber, runNumber);
}

void ScheduledJob::returnTask(ScheduledTask &task)
{
    task.phase = TaskPhase::Blocked;
    task.target.clear();
    unblockSteps();
}

void ScheduledJob::updateRemainingWork()
{
    waitingTasks = 0;
    remainingCoreMs = 0;
    for (const auto &task : tasks) {
        if (task.phase != TaskPhase::Waiting && task.phase != TaskPhase::Blocked) {
            continue;
        }
        waitingTasks += task.phase == TaskPhase::Waiting ? 1 : 0;
        const auto cores = static_cast<double>(std::max<std::int64_t>(1, submission.request.steps[task.step].demand.milliCores)) / 1000.0;
        remainingCoreMs += cores * toMilliseconds(expectedRunTimes[task.step]);
    }
}

ScheduledTask *ScheduledJob::find(const TaskName &name)
{
    for (auto &task : tasks) {
        if (task.step == name.step && task.index == name.index) {
            return &task;
        }
    }
    return nullptr;
}

bool ScheduledJob::isDone() const
{
    return m_completedTasks == tasks.size();
}

std::size_t ScheduledJob::count(TaskPhase phase) const
{
    return static_cast<std::size_t>(std::count_if(tasks.begin(), tasks.end(), [phase](const ScheduledTask &task) {
        return task.phase == phase;
    }));
}

bool ScheduledTask::isWaitingForNear(TimePoint now) const
{
    return nearWait == NearWait::InProgress && now < nearWaitUntil;
}

bool ScheduledJob::isWaitingForNear(TimePoint now) const
{
    return std::all_of(tasks.begin(), tasks.end(), [now](const ScheduledTask &task) {
        return task.phase != TaskPhase::Waiting || task.isWaitingForNear(now);
    });
}

bool ScheduledJob::hasStarted() const
{
    return started;
}

void ScheduledJob::unblockSteps()
{
    for (auto &task : tasks) {
        if (task.phase != TaskPhase::Blocked) {
            continue;
        }
        const auto &dependencies = submission.request.steps[task.step].dependsOn;
        const bool dependenciesDone = std::all_of(dependencies.begin(), dependencies.end(), [this](std::uint32_t step) {
            return m_unfinishedTasksOfStep[step] == 0;
        });
        if (dependenciesDone) {
            task.phase = TaskPhase::Waiting;
        }
    }
}
} // namespace Anvilcart::Fleet
