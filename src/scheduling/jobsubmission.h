#pragma once

#include "kernel/time.h"
#include "scheduling/runidentity.h"
#include "workload/jobrequest.h"
#include "workload/taskcrashes.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Anvilcart::Fleet
{
/// The number of a submission. Its upper half is that of the process, which makes the numbers of an entry host's processes differ; those
/// of one process rise.
constexpr std::uint64_t submissionNumber(std::uint64_t incarnation, std::uint64_t count)
{
    return (incarnation << 32U) | count;
}

/// True for two numbers of the same process of an entry host, which alone can be compared.
constexpr bool areOfOneProcess(std::uint64_t number, std::uint64_t other)
{
    return number >> 32U == other >> 32U;
}

/// A job as an entry host submits it to a dispatcher.
struct JobSubmission
{
    JobRequest request;
    /// See makeJobKey(). At its dispatcher, where request.id is the caller's id, the key by which the entry host names the job; empty where
    /// request.id is that key.
    std::string key;
    std::string route;
    std::string service;
    /// 0 is the highest priority.
    std::int64_t priority = 0;
    std::uint32_t maxAttempts = 1;
    double stretchFactor = 1.0;
    Duration targetLatency {0};
    /// The entry host that holds the caller's connection.
    std::string entryHost;
    TimePoint arrivedAt;
    /// The caller stops waiting at this time.
    TimePoint callerDeadline;
    /// The epoch of the entry host's grant that covers the job; 0 when none is needed.
    std::uint64_t grantEpoch = 0;
    /// See submissionNumber(); 0 from hosts that number none.
    std::uint64_t number = 0;
    /// The dispatcher that had the job last and was lost; empty when there was none.
    std::string lostDispatcher;
    /// Runs that the lost dispatcher started, or may yet start, have ended by this time. No task may start before it unless that
    /// dispatcher was taken over.
    TimePoint lostDispatcherRunsEndBy;
    /// The same for the dispatchers before that one; no takeover shortens it.
    TimePoint earlierRunsEndBy;
    /// How many times a dispatcher has redirected the job to another one.
    std::uint32_t transfers = 0;
    /// The tasks under which earlier dispatchers have lost targets.
    std::vector<TaskCrashes> crashes;
    /// The runs that earlier dispatchers have announced to the entry host. Of the runs that a target lists, these alone are known to be
    /// the job's.
    std::vector<RunIdentity> startedRuns;

    /// By what the entry host names the job.
    const std::string &identity() const
    {
        return key.empty() ? request.id : key;
    }

    std::size_t taskCount() const
    {
        std::size_t tasks = 0;
        for (const auto &step : request.steps) {
            tasks += step.taskCount;
        }
        return tasks;
    }

    /// When no earlier dispatcher can have a run of the job any more.
    TimePoint mayStartAt() const
    {
        return std::max(lostDispatcherRunsEndBy, earlierRunsEndBy);
    }
};

/// How a job ended at its dispatcher.
enum class JobEnd {
    Completed,
    Failed,
    /// No task was started.
    NotRun,
    /// Some tasks may have run; none is running any more.
    Abandoned,
};

/// Why a job ended.
enum class JobEndReason {
    AllTasksDone,
    AttemptsExhausted,
    /// The forecast on arrival missed the caller's deadline, or the job has missed its objective while capacity is short.
    Overload,
    /// The caller's deadline could no longer be met.
    WaitedTooLong,
    /// No target of the service has the total capacity or the label that one of its tasks requires.
    NeverFits,
    QueueFull,
    Cancelled,
    /// Targets were lost while tasks ran there.
    TargetsLost,
    /// This dispatcher is shutting down.
    Stopping,
    NoTargets,
    /// Another dispatcher is expected to start it sooner.
    BetterElsewhere,
    /// One of its tasks has crashed as many targets as it may.
    CrashesTargets,
    /// The entry host has taken the job back, or was not heard for too long.
    GrantEnded,
    /// The zones of all targets that could run its remaining tasks are evacuated.
    Evacuated,
};
constexpr std::size_t JobEndReasonCount = 14;

/// The name in logs and metrics. Thread-safe.
constexpr const char *toName(JobEndReason reason)
{
    constexpr const char *Names[JobEndReasonCount] = {"all_tasks_done",
                                                      "attempts_exhausted",
                                                      "overload",
                                                      "waited_too_long",
                                                      "never_fits",
                                                      "queue_full",
                                                      "cancelled",
                                                      "targets_lost",
                                                      "stopping",
                                                      "no_targets",
                                                      "better_elsewhere",
                                                      "crashes_targets",
                                                      "grant_ended",
                                                      "evacuated"};
    return Names[static_cast<std::size_t>(reason)];
}

/// The name in logs and metrics. Thread-safe.
constexpr const char *toName(JobEnd end)
{
    constexpr const char *Names[] = {"completed", "failed", "not_run", "abandoned"};
    return Names[static_cast<std::size_t>(end)];
}

/// The result of a job that is reported to its entry host.
struct JobResult
{
    JobEnd end = JobEnd::Abandoned;
    JobEndReason reason = JobEndReason::Cancelled;
    /// How long the caller should wait before it retries; applies only to jobs that did not run.
    Duration retryAfter {0};
    /// The dispatcher to which the job should be submitted instead; set with BetterElsewhere.
    std::string preferredDispatcher;
};
} // namespace Anvilcart::Fleet
