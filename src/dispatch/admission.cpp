#include "dispatch/admission.h"

#include <algorithm>

namespace Anvilcart
{
namespace
{
constexpr Milliseconds RetryWhenFull {1000};
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
} // namespace

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
    if (const auto *task = firstThatNeverFits(job, slots)) {
        return Refusal {ResultCode::NeverFits, "task '" + task->id + "' is larger than every target", RetryNever};
    }
    if (load.unstartedTasks + job.tasks.size() > configuration.limits.maxQueuedTasks) {
        return Refusal {ResultCode::QueueFull, "the queue is full", RetryWhenFull};
    }
    return std::nullopt;
}
} // namespace Anvilcart
