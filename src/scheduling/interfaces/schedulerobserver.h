#pragma once

#include "scheduling/jobsubmission.h"
#include "scheduling/targetloss.h"
#include "workload/targetcalls.h"

#include <cstddef>
#include <string>

namespace Anvilcart::Fleet
{
/// Why a target was ejected: it gets no new work until the ejection ends.
enum class EjectionCause {
    FailedRuns,
    HungRun,
    Unresponsive,
};
constexpr std::size_t EjectionCauseCount = 3;

/// The name in logs and metrics. Thread-safe.
constexpr const char *toName(EjectionCause cause)
{
    constexpr const char *Names[EjectionCauseCount] = {"failed_runs", "hung_run", "silent"};
    return Names[static_cast<std::size_t>(cause)];
}

/// How the wait of a task for a place near its data or its group ended.
enum class NearWaitOutcome {
    Near,
    /// No near place was free in the time that was fixed when the wait began.
    Far,
    /// No near target could be used any more.
    GaveUp,
};
constexpr std::size_t NearWaitOutcomeCount = 3;

/// The name in logs and metrics. Thread-safe.
constexpr const char *toName(NearWaitOutcome outcome)
{
    constexpr const char *Names[NearWaitOutcomeCount] = {"near", "far", "gave_up"};
    return Names[static_cast<std::size_t>(outcome)];
}

/// Receives the scheduler's decisions for logs and metrics.
class SchedulerObserver
{
public:
    virtual ~SchedulerObserver() = default;

    /// A job was accepted. queuedJobs is the number of jobs in the queue before it was added, forecastWait its expected time in the queue.
    virtual void onJobQueued(const JobSubmission &job, std::size_t queuedJobs, Duration forecastWait) = 0;

    /// A job that has missed its objective is refused, since that many other jobs are forecast to miss theirs. waited is the time since its
    /// arrival.
    virtual void onLateJobRefused(const JobSubmission &job, Duration waited, std::size_t jobsForecastToMiss) = 0;

    /// A start is sent. waited is the time since the job's arrival, expectedRunTime the expected run time on this target.
    virtual void
    onStart(const JobSubmission &job, const std::string &target, const RunName &run, Duration waited, Duration expectedRunTime) = 0;

    /// A start is sent to a target that is not on the task's data rack, or not on the rack of the other tasks of its rack-local step.
    virtual void onFarStart(const JobSubmission &job, const std::string &target, const RunName &run, const std::string &rack) = 0;

    /// A task that waited for a near place is started on a target of this rack.
    virtual void onNearWaitEnded(const RunName &run, const std::string &rack, NearWaitOutcome outcome, Duration waited) = 0;

    /// A start was not accepted.
    virtual void onStartRefused(const std::string &target, const RunName &run, RequestResult result) = 0;

    /// A run ended; job is null when the job is unknown here.
    virtual void onRunEnd(const JobSubmission *job, const std::string &target, const RunName &run, RunEnd end, Duration runTime) = 0;

    /// A run is asked to stop.
    virtual void onStop(const std::string &target, const RunName &run, const char *cause) = 0;

    /// An unanswered request for this run, "start" or "stop", is repeated.
    virtual void onRepeat(const std::string &target, const RunName &run, const char *request) = 0;

    /// A target was ejected and gets no work for the length of pause.
    virtual void onEjection(const std::string &target, EjectionCause cause, Duration pause) = 0;

    /// A target was listed under this host's fencing token for the first time; running is the number of runs that were adopted.
    virtual void onTargetClaimed(const std::string &target, std::uint64_t fencingToken, std::size_t running) = 0;

    /// A run that this dispatcher did not start was found on a target and taken for one of the job's.
    virtual void onRunAdopted(const JobSubmission &job, const std::string &target, const RunName &run) = 0;

    /// A target became unresponsive or answers again. lostRuns is the number of its runs whose leases have expired.
    virtual void onTargetResponsivenessChanged(const std::string &target, bool unresponsive, std::size_t lostRuns) = 0;

    /// This many jobs of an entry host were returned to it unfinished, since its grant had ended or was taken back.
    virtual void onJobsReturned(const std::string &entryHost, std::size_t jobs, const char *cause) = 0;

    /// A target has lost all of its runs.
    virtual void onRunsLost(const TargetLoss &loss, TimePoint now) = 0;
};
} // namespace Anvilcart::Fleet
