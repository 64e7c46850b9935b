#include "scheduling/scheduler.h"

#include <algorithm>
#include <utility>

// Runs whose owner must be found out: targets name them by the ids of jobs, which those of several routes may share.
namespace Anvilcart::Fleet
{
/// The job that a run belongs to; null when that is not here, or not known.
ScheduledJob *Scheduler::jobOf(const LedgerRun &run) const
{
    auto *job = findJob(run.name.task.jobId);
    return job != nullptr && run.route == job->submission.route ? job : nullptr;
}

/// Lets a job of which no task has started wait like one that was submitted after another with its id.
void Scheduler::holdUnstartedJob(const std::string &jobId, TimePoint now)
{
    const auto found = m_jobs.find(jobId);
    const auto job = std::move(found->second);
    m_jobs.erase(found);
    m_taskCount -= job->tasks.size();
    dequeue(*job);
    holdCollidingJob(std::move(job->submission), now);
}

/// Whether the run is known to be one of this submission's job: this dispatcher has started it for that, or the entry host names it.
bool Scheduler::isRunOf(const LedgerRun &run, const TargetLedger &target, const JobSubmission &submission)
{
    if (target.entry().service != submission.service) {
        return false;
    }
    if (run.route) {
        return *run.route == submission.route;
    }
    const auto &known = submission.startedRuns;
    return std::find(known.begin(), known.end(), identityOf(run.name, target.entry().id, target.startedAtMs())) != known.end();
}

/// True when the targets hold runs under the id of the submission and none of them is known to be its own. They may be those of another
/// route's job, whose entry host has yet to submit it, or its own that its entry host was not told of.
bool Scheduler::mustWaitForOtherRuns(const JobSubmission &submission) const
{
    bool hasOtherRuns = false;
    for (const auto &[id, target] : m_targets) {
        const auto &runs = target->runs();
        const auto &jobId = submission.request.id;
        for (auto it = runs.lower_bound({{jobId, 0, 0, 0}, 0}); it != runs.end() && it->first.task.jobId == jobId; ++it) {
            if (isRunOf(it->second, *target, submission)) {
                return false;
            }
            hasOtherRuns = true;
        }
    }
    return hasOtherRuns;
}

/// Adopts the runs of a new job that another dispatcher started on targets which this host has since taken over. A run that is being
/// stopped is adopted too: it works until the target lists its end, and its task must not start elsewhere before. Other runs under the id
/// of the job are stopped.
void Scheduler::adoptRuns(ScheduledJob &job, TimePoint now)
{
    std::vector<std::pair<TargetLedger *, RunName>> found;
    for (const auto &[id, target] : m_targets) {
        const auto &jobId = job.submission.request.id;
        const auto &runs = target->runs();
        for (auto it = runs.lower_bound({{jobId, 0, 0, 0}, 0}); it != runs.end() && it->first.task.jobId == jobId; ++it) {
            found.emplace_back(target.get(), it->first);
        }
    }
    // Its own ones come first: another run of the same task would keep them from being adopted.
    const auto others = std::stable_partition(found.begin(), found.end(), [&job](const auto &entry) {
        return isRunOf(*entry.first->find(entry.second), *entry.first, job.submission);
    });
    for (auto it = found.begin(); it != found.end(); ++it) {
        auto &run = *it->first->find(it->second);
        if (it < others) {
            adoptRun(job, *it->first, run, now);
        } else {
            stopOtherRun(job, *it->first, run, now);
        }
    }
}

/// Takes a run that was found on a target for one of the job's.
void Scheduler::adoptRun(ScheduledJob &job, TargetLedger &target, LedgerRun &run, TimePoint now)
{
    run.route = job.submission.route;
    auto *task = job.find(run.name.task);
    if (task == nullptr) {
        return;
    }
    if (task->phase != TaskPhase::Waiting && task->phase != TaskPhase::Blocked) {
        // A late copy of a start has taken effect beside the task's next run.
        if (!run.stopRequested) {
            stop(target, run, "duplicate run", now);
        }
        return;
    }
    m_observer.onRunAdopted(job.submission, target.entry().id, run.name);
    ScheduledJob::assign(*task, target.entry().id, run.name.run);
    job.started = true;
    const auto &step = job.submission.request.steps[task->step];
    run.estimate = step.estimate;
    run.expectedRunTime = job.expectedRunTimes[task->step];
    recordRackOfRun(job, *task, target, m_services[job.submission.service].targets, m_limits.farFactor, true);
    if (run.demand == Resources()) {
        target.identifyRun(run.name, step.demand);
    }
    if (m_crashSuspects.mustRunAlone(run.name.task)) {
        target.reserveFor(run.name);
    }
}

/// Stops a run under the id of a job that has started and is not known to own it. As it may be the job's all the same, its task must not
/// start beside it; how it ends counts for nothing.
void Scheduler::stopOtherRun(ScheduledJob &job, TargetLedger &target, LedgerRun &run, TimePoint now)
{
    auto *task = job.find(run.name.task);
    if (task != nullptr && (task->phase == TaskPhase::Waiting || task->phase == TaskPhase::Blocked)) {
        ScheduledJob::assign(*task, target.entry().id, run.name.run);
    }
    if (!run.stopRequested) {
        stop(target, run, "run of unknown owner", now);
    }
}

/// Handles a listed run that this dispatcher did not start. Without a job, or with one that has not started, it waits for the entry host of
/// its job; see checkRuns().
void Scheduler::onRunFound(TargetLedger &target, const RunName &name, TimePoint now)
{
    auto *job = findJob(name.task.jobId);
    auto *run = target.find(name);
    if (job == nullptr || run == nullptr || job->pendingResult) {
        return;
    }
    if (isRunOf(*run, target, job->submission)) {
        adoptRun(*job, target, *run, now);
        markRunsWithoutGrant(*job, now);
    } else if (job->hasStarted()) {
        stopOtherRun(*job, target, *run, now);
        markRunsWithoutGrant(*job, now);
    } else {
        holdUnstartedJob(name.task.jobId, now);
    }
}
} // namespace Anvilcart::Fleet
