#pragma once

#include "scheduling/joborder.h"
#include "workload/targetcalls.h"

#include <string>

namespace Anvilcart::Fleet
{
/// Why a target is given no work for a while.
enum class EjectionCause {
    FailedRuns,
    HungRun,
    Silent,
};
constexpr std::size_t EjectionCauseCount = 3;

/// The name in logs and metrics. Thread-safe.
constexpr const char *toName(EjectionCause cause)
{
    constexpr const char *Names[EjectionCauseCount] = {"failed_runs", "hung_run", "silent"};
    return Names[static_cast<std::size_t>(cause)];
}

/// Hears of the scheduler's decisions, for logs and metrics.
class SchedulerObserver
{
public:
    virtual ~SchedulerObserver() = default;

    /// A job was taken in: what lies before it in the queue, and how long that is forecast to take.
    virtual void onJobQueued(const JobOrder &job, std::size_t queuedJobs, Duration forecastWait) = 0;

    /// A start is sent, with the run time that is expected on this target.
    virtual void onStart(const JobOrder &job, const std::string &target, const RunName &run, Duration waited, Duration expectedRunTime) = 0;

    /// A start was not accepted.
    virtual void onStartRefused(const std::string &target, const RunName &run, RequestResult result) = 0;

    /// A run ended; job is null when its job is not known here.
    virtual void onRunEnd(const JobOrder *job, const std::string &target, const RunName &run, RunEnd end, Duration runTime) = 0;

    /// A run is asked to stop.
    virtual void onStop(const std::string &target, const RunName &run, const char *cause) = 0;

    /// A target is given no work until then.
    virtual void onEjection(const std::string &target, EjectionCause cause, Duration pause) = 0;

    /// A target was listed under our fencing token for the first time.
    virtual void onTargetClaimed(const std::string &target, std::uint64_t fencingToken, std::size_t running) = 0;

    /// A silent target answers again, or stopped answering.
    virtual void onTargetSilence(const std::string &target, bool silent, std::size_t lostRuns) = 0;
};
} // namespace Anvilcart::Fleet
