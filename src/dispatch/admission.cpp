#include "dispatch/admission.h"

#include <algorithm>

namespace Anvilcart
{
namespace
{
constexpr Milliseconds MinRetryAfter {100};
constexpr Milliseconds MaxRetryAfter {60000};
constexpr Milliseconds RetryWhenNoTarget {1000};
constexpr Milliseconds RetryElsewhere {0};
constexpr Milliseconds RetryNever {0};

bool hasTeam(const Configuration &configuration, const std::string &team)
{
    return std::any_of(configuration.teams.begin(), configuration.teams.end(), [&](const TeamSpec &spec) {
        return spec.name == team;
    });
}

const TaskSpec *firstOversizedTask(const JobSpec &job, const SlotTable &slots)
{
    const auto found = std::find_if(job.tasks.begin(), job.tasks.end(), [&](const TaskSpec &task) {
        return !slots.everFits(task.size);
    });
    return found != job.tasks.end() ? &*found : nullptr;
}
Milliseconds clampRetryAfter(Duration delay)
{
    return std::clamp(std::chrono::ceil<Milliseconds>(delay), MinRetryAfter, MaxRetryAfter);
}

/// The time that the job needs if no other job is ahead of it.
Duration expectedDuration(const LoadView &load)
{
    const auto slots = std::max(load.slots, 1U);
    const auto duration = load.jobWork / std::clamp(load.teamSlots, 1U, slots);
    return std::max(load.longestTask, Duration(duration));
}

/// Assumes that the work in the queue is spread evenly over its tasks.
std::optional<Refusal> checkLoad(const JobSpec &job, const LimitSpec &limits, const LoadView &load)
{
    const auto waiting = load.unstartedTasks + job.tasks.size();
    if (waiting > limits.maxQueuedTasks) {
        const auto excess = static_cast<double>(waiting - limits.maxQueuedTasks) / std::max<double>(1, load.unstartedTasks);
        const auto work = std::chrono::duration_cast<Duration>(load.queuedWork * std::min(1.0, excess));
        return Refusal {ResultCode::QueueFull, "the queue is full", retryAfterWork(work, load.slots)};
    }
    if (load.teamSlots == 0) {
        return Refusal {ResultCode::QuotaExceeded, "the quota of team '" + job.team + "' leaves no task to this host", RetryElsewhere};
    }
    const auto duration = expectedDuration(load);
    const auto expectedResponse = duration + load.workAhead / std::max(load.slots, 1U);
    const auto deadline = effectiveDeadline(job, limits);
    const auto teamResponse = duration + load.teamWorkAhead / load.teamSlots;
    if (teamResponse > deadline && teamResponse > expectedResponse && duration <= deadline) {
        return Refusal {
            ResultCode::QuotaExceeded, "team '" + job.team + "' waits for its own running tasks", clampRetryAfter(teamResponse - deadline)};
    }
    if (expectedResponse > deadline) {
        return Refusal {ResultCode::DeadlineUnreachable,
                        "an answer is expected after " + std::to_string(std::chrono::ceil<Milliseconds>(expectedResponse).count())
                            + " ms; the deadline is " + std::to_string(deadline.count()) + " ms",
                        duration > deadline ? RetryNever : clampRetryAfter(expectedResponse - deadline)};
    }
    return std::nullopt;
}
} // namespace

Milliseconds effectiveDeadline(const JobSpec &job, const LimitSpec &limits)
{
    const auto requested = job.deadline.count() > 0 ? job.deadline : limits.defaultDeadline;
    return std::min(requested, limits.maxDeadline);
}

Milliseconds retryAfterWork(Duration work, std::uint32_t slots)
{
    return clampRetryAfter(work / std::max(slots, 1U));
}

std::optional<Refusal> checkAdmission(const JobSpec &job, const Configuration &configuration, const SlotTable &slots, const LoadView &load)
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
        return Refusal {ResultCode::NoTarget, "no target of this availability zone is in service", RetryWhenNoTarget};
    }
    if (const auto *task = firstOversizedTask(job, slots)) {
        return Refusal {ResultCode::NeverFits, "task '" + task->id + "' is larger than every target", RetryNever};
    }
    return checkLoad(job, configuration.limits, load);
}
} // namespace Anvilcart
