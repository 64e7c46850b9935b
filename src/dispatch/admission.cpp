#include "dispatch/admission.h"

#include <algorithm>

namespace Anvilcart
{
namespace
{
constexpr Milliseconds LeastRetryAfter {100};
constexpr Milliseconds MostRetryAfter {60000};
constexpr Milliseconds RetryWithoutTarget {1000};
constexpr Milliseconds RetryElsewhere {0};
constexpr Milliseconds RetryNever {0};

bool hasTeam(const Configuration &configuration, const std::string &team)
{
    return std::any_of(configuration.teams.begin(), configuration.teams.end(), [&](const TeamSpec &spec) {
        return spec.name == team;
    });
}

const TaskSpec *firstThatNeverFits(const JobSpec &job, const SlotTable &slots)
{
    const auto found = std::find_if(job.tasks.begin(), job.tasks.end(), [&](const TaskSpec &task) {
        return !slots.everFits(task.size);
    });
    return found != job.tasks.end() ? &*found : nullptr;
}
Milliseconds bounded(Duration time)
{
    return std::clamp(std::chrono::ceil<Milliseconds>(time), LeastRetryAfter, MostRetryAfter);
}

/// The time that the job needs by itself.
Duration expectedSpan(const LoadView &load)
{
    const auto slots = std::max(load.slots, 1U);
    const auto span = load.jobWork / std::clamp(load.teamSlots, 1U, slots);
    return std::max(load.longestTask, Duration(span));
}

/// The queue's work is taken to be spread evenly over its tasks.
std::optional<Refusal> refuseForLoad(const JobSpec &job, const LimitSpec &limits, const LoadView &load)
{
    const auto waiting = load.unstartedTasks + job.tasks.size();
    if (waiting > limits.maxQueuedTasks) {
        const auto excess = static_cast<double>(waiting - limits.maxQueuedTasks) / std::max<double>(1, load.unstartedTasks);
        const auto work = std::chrono::duration_cast<Duration>(load.queuedWork * std::min(1.0, excess));
        return Refusal {ResultCode::QueueFull, "the queue is full", drainTime(work, load.slots)};
    }
    if (load.teamSlots == 0) {
        return Refusal {ResultCode::QuotaExceeded, "the quota of team '" + job.team + "' leaves no task to this host", RetryElsewhere};
    }
    const auto span = expectedSpan(load);
    const auto response = span + load.workAhead / std::max(load.slots, 1U);
    const auto deadline = deadlineOf(job, limits);
    const auto teamResponse = span + load.teamWorkAhead / load.teamSlots;
    if (teamResponse > deadline && teamResponse > response && span <= deadline) {
        return Refusal {
            ResultCode::QuotaExceeded, "team '" + job.team + "' waits for its own running tasks", bounded(teamResponse - deadline)};
    }
    if (response > deadline) {
        return Refusal {ResultCode::DeadlineUnreachable,
                        "an answer is expected after " + std::to_string(std::chrono::ceil<Milliseconds>(response).count())
                            + " ms; the deadline is " + std::to_string(deadline.count()) + " ms",
                        span > deadline ? RetryNever : bounded(response - deadline)};
    }
    return std::nullopt;
}
} // namespace

Milliseconds deadlineOf(const JobSpec &job, const LimitSpec &limits)
{
    const auto asked = job.deadline.count() > 0 ? job.deadline : limits.defaultDeadline;
    return std::min(asked, limits.maxDeadline);
}

Milliseconds drainTime(Duration work, std::uint32_t slots)
{
    return bounded(work / std::max(slots, 1U));
}

std::optional<Refusal> refuse(const JobSpec &job, const Configuration &configuration, const SlotTable &slots, const LoadView &load)
{
    if (load.draining) {
        return Refusal {ResultCode::Draining, "this host is shutting down", RetryElsewhere};
    }
    if (!hasTeam(configuration, job.team)) {
        return Refusal {ResultCode::UnknownTeam, "team '" + job.team + "' is not configured", RetryNever};
    }
    if (job.tasks.size() > configuration.limits.maxTasksPerJob) {
        return Refusal {ResultCode::TaskCountOutOfRange,
                        "the job has " + std::to_string(job.tasks.size()) + " tasks; at most "
                            + std::to_string(configuration.limits.maxTasksPerJob) + " are allowed",
                        RetryNever};
    }
    if (slots.zoneSlots() == 0) {
        return Refusal {ResultCode::NoTarget, "no target of this availability zone is in service", RetryWithoutTarget};
    }
    if (const auto *task = firstThatNeverFits(job, slots)) {
        return Refusal {ResultCode::NeverFits, "task '" + task->id + "' is larger than every target", RetryNever};
    }
    return refuseForLoad(job, configuration.limits, load);
}
} // namespace Anvilcart
