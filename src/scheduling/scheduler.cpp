#include "scheduling/scheduler.h"

#include "scheduling/placementchoice.h"
#include "workload/jobkey.h"

#include <algorithm>
#include <limits>
#include <utility>

// Jobs, from submission to end. The queue is in schedulerqueue.cpp, targets in schedulertargets.cpp, runs in schedulerruns.cpp, and whose
// they are in schedulerowners.cpp.
namespace Anvilcart::Fleet
{
namespace
{
/// A job that was redirected this many times is not redirected again.
constexpr std::uint32_t MaxTransfers = 2;
/// Forecasts err by about a third, so a job counts as infeasible only when it would miss its deadline even in this share of the
/// forecast time.
constexpr double OptimisticForecastFactor = 0.8;
/// A job is urgent when its caller waits less than this multiple of its expected duration: it has no time to wait in the queue.
constexpr std::int64_t UrgentJobTimeRatio = 2;
/// An urgent job is ranked ahead by the work that the whole service does in this time; its route is still charged for its work.
constexpr double UrgentLeadMs = 60;
/// A peer is preferred only when it is expected to start the job this much sooner, which covers a network hop and the age of the peer's
/// reported load.
constexpr Milliseconds MinTransferGain {50};
/// The bound of an evacuation where the settings have none.
constexpr Seconds DefaultEvacuationBound {5};

const JobResult CancelledResult {JobEnd::Abandoned, JobEndReason::Cancelled, Duration(0), {}};

/// True when the submission is a copy of the known one, or came before it.
bool isCoveredBy(const JobSubmission &submission, const JobSubmission &known)
{
    return submission.number != 0 && submission.route == known.route && submission.entryHost == known.entryHost
        && areOfOneProcess(submission.number, known.number) && submission.number <= known.number;
}

bool isHere(const JobSubmission &submission, const ScheduledJob &job)
{
    return isCoveredBy(submission, job.submission) || (job.resubmission && isCoveredBy(submission, *job.resubmission));
}

/// True when a cancellation by this entry host, up to this number, cancels the submission. The present process of an entry host cancels
/// all submissions of its earlier ones.
bool isCancelledBy(const JobSubmission &submission, const std::string &entryHost, std::uint64_t number)
{
    return submission.entryHost == entryHost && (number == 0 || !areOfOneProcess(submission.number, number) || submission.number <= number);
}
} // namespace

std::size_t maxTasksForMemory(std::int64_t memoryMb)
{
    constexpr std::int64_t BytesPerTask = 256;
    constexpr std::int64_t MemoryShare = 4;
    static_assert(sizeof(ScheduledTask) <= BytesPerTask);
    return static_cast<std::size_t>(memoryMb * 1024 * 1024 / MemoryShare / BytesPerTask);
}

Scheduler::Scheduler(const SchedulerLimits &limits, SchedulerPort &port, SchedulerObserver &observer)
    : m_limits(limits)
    , m_port(port)
    , m_observer(observer)
    , m_zoneEvacuation(limits.evacuationBound.value_or(DefaultEvacuationBound))
    , m_isEvacuationKnown(!limits.evacuationBound)
{
}

Scheduler::~Scheduler() = default;

void Scheduler::submit(JobSubmission submission, TimePoint now)
{
    updateGrants(now);
    if (const auto result = resultOf(submission)) {
        m_port.onJobEnd(submission, *result);
        return;
    }
    if (auto *existing = findJob(submission.request.id)) {
        if (existing->submission.route != submission.route) {
            holdCollidingJob(std::move(submission), now);
            return;
        }
        if (isHere(submission, *existing)) {
            return;
        }
        if (existing->pendingResult) {
            if (existing->resubmission) {
                reportReplacement(*existing->resubmission, submission, now);
            }
            existing->resubmission = std::move(submission);
            return;
        }
        auto &known = existing->submission;
        reportReplacement(known, submission, now);
        known.earlierRunsEndBy = std::max(known.earlierRunsEndBy, submission.mayStartAt());
        known.key = submission.key;
        known.entryHost = submission.entryHost;
        known.grantEpoch = submission.grantEpoch;
        known.number = submission.number;
        known.callerDeadline = submission.callerDeadline;
        known.startedRuns.insert(known.startedRuns.end(), submission.startedRuns.begin(), submission.startedRuns.end());
        existing->resultReported = false;
        markRunsWithoutGrant(*existing, now);
        return;
    }
    if (const auto lost = m_lostRunsEndBy.find(submission.request.id); lost != m_lostRunsEndBy.end()) {
        submission.earlierRunsEndBy = std::max(submission.earlierRunsEndBy, lost->second);
    }
    if (mustWaitForOtherRuns(submission)) {
        holdCollidingJob(std::move(submission), now);
        return;
    }
    const auto replaced = m_collidingJobs.take([&submission](const JobSubmission &held) {
        const bool isOlder = held.entryHost != submission.entryHost || held.number <= submission.number;
        return held.identity() == submission.identity() && isOlder;
    });
    for (const auto &held : replaced) {
        reportReplacement(held, submission, now);
    }
    if (refuseIfTooLarge(submission, now)) {
        return;
    }
    auto owned = std::make_unique<ScheduledJob>(std::move(submission));
    auto &job = *owned;
    m_taskCount += job.tasks.size();
    const auto id = job.submission.request.id;
    m_jobs[id] = std::move(owned);
    setForecast(job);
    m_crashSuspects.beginJob(id, job.submission.route);
    if (!job.submission.crashes.empty()) {
        m_crashSuspects.merge(id, job.submission.crashes, now);
        m_crashSuspects.setRoute(id, job.submission.route);
    }
    adoptRuns(job, now);
    markRunsWithoutGrant(job, now);
    if (m_crashSuspects.verdictOnJob(id) != CrashVerdict::Startable) {
        endCrashingJob(job, now);
        return;
    }
    if (job.count(TaskPhase::Assigned) > 0) {
        enqueue(job, now);
        schedule(job.submission.service, now);
        return;
    }
    if (isBlockedByEvacuation(job, now)) {
        endEvacuatedJob(job, now);
        return;
    }
    auto &service = m_services[job.submission.service];
    const auto wait = forecastWait(service, job, now);
    if (wait > Duration(0)) {
        if (const auto better = betterDispatcher(job, now); !better.empty()) {
            endJob(id, {JobEnd::NotRun, JobEndReason::BetterElsewhere, Seconds(1), better}, now);
            return;
        }
    }
    const bool noTargets = std::all_of(service.targets.begin(), service.targets.end(), [](const TargetLedger *target) {
        return target->ownership == Ownership::Retiring;
    });
    if (noTargets) {
        endJob(id, {JobEnd::NotRun, JobEndReason::NoTargets, Seconds(1), {}}, now);
        return;
    }
    if (!fitsAnywhere(job.submission)) {
        endJob(id, {JobEnd::NotRun, JobEndReason::NeverFits, Seconds(1), {}}, now);
        return;
    }
    if (service.queue.size() >= m_limits.maxQueuedJobs) {
        endJob(id, {JobEnd::NotRun, JobEndReason::QueueFull, retryAfter(service, id, now), {}}, now);
        return;
    }
    const auto remainingTime = shortestCompletionTime(job, now);
    if (m_limits.refuseInfeasible && now + wait + remainingTime > job.submission.callerDeadline) {
        endJob(id, {JobEnd::NotRun, JobEndReason::Overload, retryAfter(service, id, now), {}}, now);
        return;
    }
    m_observer.onJobQueued(job.submission, service.queue.size(), wait);
    enqueue(job, now);
    schedule(job.submission.service, now);
}

std::optional<JobResult> Scheduler::resultOf(const JobSubmission &submission) const
{
    const auto found = m_jobs.find(submission.request.id);
    if (found != m_jobs.end() && isHere(submission, *found->second)) {
        const auto &job = *found->second;
        const bool isReported = job.resultReported && job.submission.number == submission.number;
        return isReported ? job.pendingResult : std::nullopt;
    }
    const auto *ended = m_endedSubmissions.find(submission);
    return ended == nullptr ? std::nullopt : std::optional(*ended);
}

void Scheduler::refuse(const JobSubmission &submission, JobEndReason reason, TimePoint now)
{
    const auto *job = findJob(makeJobKey(submission.request.id, submission.route));
    if (job != nullptr && isHere(submission, *job)) {
        return;
    }
    // A job that is here for another entry host must not be submitted elsewhere.
    const auto end = mayHaveRunBefore(submission, now) ? JobEnd::Abandoned : JobEnd::NotRun;
    const auto refusal = job == nullptr ? JobResult {end, reason, Seconds(1), {}} : CancelledResult;
    reportEnd(submission, resultOf(submission).value_or(refusal), now);
}

/// Refuses a job before anything is allocated for its tasks. One that is too large even for an idle dispatcher is not worth a retry.
bool Scheduler::refuseIfTooLarge(const JobSubmission &submission, TimePoint now)
{
    const auto tasks = submission.taskCount();
    if (m_taskCount + tasks <= m_limits.maxTasks) {
        return false;
    }
    const auto &service = m_services[submission.service];
    const auto reason = tasks > m_limits.maxTasks ? JobEndReason::NeverFits : JobEndReason::QueueFull;
    const auto end = mayHaveRunBefore(submission, now) ? JobEnd::Abandoned : JobEnd::NotRun;
    reportEnd(submission, {end, reason, retryAfter(service, submission.request.id, now), {}}, now);
    return true;
}

/// Tells an entry host that another one has submitted its job since, and has it now.
void Scheduler::reportReplacement(const JobSubmission &replaced, const JobSubmission &next, TimePoint now)
{
    if (replaced.entryHost != next.entryHost && replaced.number != 0) {
        reportEnd(replaced, CancelledResult, now);
    }
}

/// Reports a result, and keeps it for the case that it is lost.
void Scheduler::reportEnd(const JobSubmission &submission, const JobResult &result, TimePoint now)
{
    m_endedSubmissions.record(submission, result, now);
    m_port.onJobEnd(submission, result);
}

/// The dispatcher that is expected to start the job sooner; empty when the job should stay here.
std::string Scheduler::betterDispatcher(const ScheduledJob &job, TimePoint now)
{
    if (job.submission.transfers >= MaxTransfers) {
        return {};
    }
    const auto &service = m_services[job.submission.service];
    const auto tasks = static_cast<std::uint32_t>(job.waitingTasks);
    const bool noneHere = service.targets.empty();
    const auto ownWait = noneHere ? Duration::max() : forecastWait(service, job, now);
    const PeerDispatcher *best = nullptr;
    ServiceLoad *bestLoad = nullptr;
    for (auto &peer : m_peers) {
        for (auto &load : peer.loads) {
            if (load.service != job.submission.service) {
                continue;
            }
            const bool better =
                bestLoad == nullptr || load.wait < bestLoad->wait || (load.wait == bestLoad->wait && load.freeTasks > bestLoad->freeTasks);
            if (better) {
                best = &peer;
                bestLoad = &load;
            }
        }
    }
    const bool shouldRedirect = best != nullptr && (noneHere || bestLoad->freeTasks >= tasks || bestLoad->wait + MinTransferGain < ownWait);
    if (!shouldRedirect) {
        return {};
    }
    bestLoad->freeTasks -= std::min(bestLoad->freeTasks, tasks);
    if (bestLoad->freeTasks == 0) {
        bestLoad->wait += MinTransferGain;
    }
    return best->host;
}

bool Scheduler::fitsAnywhere(const JobSubmission &submission) const
{
    const auto &targets = m_services.at(submission.service).targets;
    return std::all_of(submission.request.steps.begin(), submission.request.steps.end(), [&](const StepRequest &step) {
        return std::any_of(targets.begin(), targets.end(), [&](const TargetLedger *target) {
            return fitsWhenEmpty(target->entry(), step.demand, step.requiredLabel);
        });
    });
}

/// Sets the job's expected run times, critical path, objective and start tag.
void Scheduler::setForecast(ScheduledJob &job)
{
    const auto &steps = job.submission.request.steps;
    std::vector<Duration> endOfStep;
    for (const auto &step : steps) {
        Duration begin {0};
        for (const auto earlier : step.dependsOn) {
            begin = std::max(begin, endOfStep[earlier]);
        }
        job.expectedRunTimes.push_back(m_runTimes.forecast(job.submission.route, step.estimate));
        const auto longest = job.expectedRunTimes.back() * m_runTimes.slowestTaskFactor(job.submission.route, step.taskCount);
        endOfStep.push_back(begin + std::chrono::duration_cast<Duration>(longest));
        job.criticalPath = std::max(job.criticalPath, endOfStep.back());
    }
    const auto stretched = std::chrono::duration_cast<Duration>(job.criticalPath * job.submission.stretchFactor);
    job.objectiveAt = job.submission.arrivedAt + stretched + job.submission.targetLatency;
    job.updateRemainingWork();
    assignTag(job);
    if (job.submission.callerDeadline - job.submission.arrivedAt < job.criticalPath * UrgentJobTimeRatio) {
        double cores = 0;
        for (const auto *target : m_services[job.submission.service].targets) {
            cores += static_cast<double>(target->entry().capacity.milliCores) / 1000.0;
        }
        job.urgencyLead = cores * UrgentLeadMs;
    }
}

/// The shortest time that the job is expected to take once its tasks start.
Duration Scheduler::shortestCompletionTime(const ScheduledJob &job, TimePoint now) const
{
    double slowness = 0;
    const auto &step = job.submission.request.steps.front();
    for (const auto *target : m_services.at(job.submission.service).targets) {
        const bool usable =
            !target->leaving && !target->unresponsive && !target->health.isEjected(now) && target->zoneAccess.admits(job.hasStarted(), now);
        if (usable && fitsWhenEmpty(target->entry(), step.demand, step.requiredLabel)) {
            const auto targetSlowness = target->health.slowness(now);
            slowness = slowness == 0 ? targetSlowness : std::min(slowness, targetSlowness);
        }
    }
    return std::chrono::duration_cast<Duration>(job.criticalPath * (slowness == 0 ? 1.0 : slowness) * OptimisticForecastFactor);
}

void Scheduler::cancel(const std::string &jobId, const std::string &entryHost, TimePoint now, std::uint64_t number)
{
    const auto held = m_collidingJobs.take([&](const JobSubmission &submission) {
        return mayBeSameJob(submission.identity(), jobId) && isCancelledBy(submission, entryHost, number);
    });
    for (const auto &submission : held) {
        m_endedSubmissions.record(submission, CancelledResult, now);
    }
    auto *job = findJob(jobId);
    if (job != nullptr && job->resubmission && isCancelledBy(*job->resubmission, entryHost, number)) {
        m_endedSubmissions.record(*job->resubmission, CancelledResult, now);
        job->resubmission.reset();
        return;
    }
    if (job == nullptr || !isCancelledBy(job->submission, entryHost, number)) {
        // The submission may still arrive, over an older connection.
        JobSubmission cancelled;
        cancelled.request.id = jobIdOf(jobId);
        cancelled.key = jobId;
        cancelled.entryHost = entryHost;
        cancelled.number = number;
        m_endedSubmissions.record(cancelled, CancelledResult, now);
        return;
    }
    job->resultReported = true;
    stopRunsAndEnd(*job, CancelledResult, now);
}

void Scheduler::cancelAllOf(const std::string &entryHost, TimePoint now)
{
    m_collidingJobs.take([&](const JobSubmission &submission) {
        return submission.entryHost == entryHost;
    });
    std::vector<std::string> ids;
    for (const auto &[id, job] : m_jobs) {
        const bool hasResubmission = job->resubmission && job->resubmission->entryHost == entryHost;
        if (job->submission.entryHost == entryHost || hasResubmission) {
            ids.push_back(id);
        }
    }
    for (const auto &id : ids) {
        cancel(id, entryHost, now);
        cancel(id, entryHost, now);
    }
}

bool Scheduler::isGranted(const JobSubmission &submission, TimePoint now) const
{
    return m_grants.isValid(submission.entryHost, submission.grantEpoch, now);
}

TimePoint Scheduler::grantEndOf(const JobSubmission &submission) const
{
    return m_grants.endOf(submission.entryHost, submission.grantEpoch);
}

/// Looks up the grants of the target's runs. A run whose job is gone or has been given up keeps the end that was known last: its caller may
/// come again, whatever becomes of this host and the stop.
void Scheduler::updateGrantEnds(TargetLedger &target)
{
    for (auto &[name, run] : target.runs()) {
        const auto *job = jobOf(run);
        if (job != nullptr && !job->pendingResult) {
            run.grantEndsBy = grantEndOf(job->submission);
        }
    }
}

bool Scheduler::onGrant(const std::string &entryHost, std::uint64_t entryIncarnation, const JobGrant &grant, TimePoint now)
{
    updateGrants(now);
    const auto change = m_grants.onGrant(entryHost, entryIncarnation, grant, now);
    switch (change) {
    case HeldGrants::Change::Outdated:
        return false;
    case HeldGrants::Change::Renewed:
        break;
    case HeldGrants::Change::Extended:
        resumeLeases(entryHost, now);
        break;
    case HeldGrants::Change::EpochRaised:
        returnJobs(entryHost, "taken back", now);
        break;
    case HeldGrants::Change::EntryRestarted:
        cancelAllOf(entryHost, now);
        break;
    }
    return true;
}

/// Extends at once the leases that could not be extended without the grant: they may end before the next renewal is due.
void Scheduler::resumeLeases(const std::string &entryHost, TimePoint now)
{
    std::vector<TargetLedger *> paused;
    for (const auto &[id, target] : m_targets) {
        if (!target->mayExtendLeases(now) && !target->unresponsive && target->ownership != Ownership::Claiming) {
            paused.push_back(target.get());
        }
    }
    markRunsWithoutGrant(entryHost, now);
    for (auto *target : paused) {
        if (target->mayExtendLeases(now)) {
            renew(*target, now);
        }
    }
}

/// Must be called before anything is started or renewed at this time.
void Scheduler::updateGrants(TimePoint now)
{
    for (const auto &entryHost : m_grants.takeEnded(now)) {
        markRunsWithoutGrant(entryHost, now);
    }
}

void Scheduler::markRunsWithoutGrant(const std::string &entryHost, TimePoint now)
{
    for (const auto &[id, job] : m_jobs) {
        if (job->submission.entryHost == entryHost && job->hasStarted()) {
            markRunsWithoutGrant(*job, now);
        }
    }
}

void Scheduler::markRunsWithoutGrant(const ScheduledJob &job, TimePoint now)
{
    TimePoint leasesEndBy;
    for (const auto &task : job.tasks) {
        const auto target = task.phase == TaskPhase::Assigned ? m_targets.find(task.target) : m_targets.end();
        auto *run = target == m_targets.end()
            ? nullptr
            : target->second->find({{job.submission.request.id, 0, task.step, task.index}, task.lastRunNumber});
        if (run != nullptr) {
            run->withoutGrant = !isGranted(job.submission, now) || target->second->claimNumber > confirmedClaims(job.submission);
            run->mayRunElsewhereUntil = job.submission.mayStartAt();
            if (!job.pendingResult) {
                run->grantEndsBy = grantEndOf(job.submission);
            }
            leasesEndBy = std::max(leasesEndBy, target->second->leasesEndBy());
        }
    }
    const auto grantEnd = grantEndOf(job.submission);
    const bool mayOutlast = !job.pendingResult && grantEnd != TimePoint::max() && isGranted(job.submission, now);
    if (mayOutlast && leasesEndBy > grantEnd + LongestRunAfterGrant) {
        m_port.onRunsOutlastGrant(job.submission, leasesEndBy);
    }
}

/// The number of the last claim of a target under which tasks of the job may be started and their leases extended.
std::uint64_t Scheduler::confirmedClaims(const JobSubmission &submission) const
{
    return submission.grantEpoch == 0 ? std::numeric_limits<std::uint64_t>::max() : m_grants.confirmedClaims(submission.entryHost);
}

/// Returns the jobs of an entry host whose grant does not cover them: their runs are stopped, and then the entry host is told.
void Scheduler::returnJobs(const std::string &entryHost, const char *cause, TimePoint now)
{
    std::vector<ScheduledJob *> jobs;
    for (const auto &[id, job] : m_jobs) {
        if (job->submission.entryHost == entryHost && !job->pendingResult && !isGranted(job->submission, now)) {
            jobs.push_back(job.get());
        }
    }
    if (jobs.empty()) {
        return;
    }
    m_observer.onJobsReturned(entryHost, jobs.size(), cause);
    for (auto *job : jobs) {
        markRunsWithoutGrant(*job, now);
        const auto end = job->hasStarted() ? JobEnd::Abandoned : JobEnd::NotRun;
        stopRunsAndEnd(*job, {end, JobEndReason::GrantEnded, Seconds(1), {}}, now);
    }
}

/// Stops the job's runs and starts no new ones; the job ends with result when its last run has ended.
void Scheduler::stopRunsAndEnd(ScheduledJob &job, const JobResult &result, TimePoint now)
{
    if (job.pendingResult) {
        return;
    }
    dequeue(job);
    job.pendingResult = result;
    if (result.end == JobEnd::Failed && !job.resultReported) {
        // The failure is final, so that the caller need not wait for the end of the other runs.
        job.resultReported = true;
        reportEnd(job.submission, result, now);
    }
    for (auto &task : job.tasks) {
        if (task.phase != TaskPhase::Assigned) {
            continue;
        }
        const auto target = m_targets.find(task.target);
        if (target == m_targets.end()) {
            continue;
        }
        const TaskName name {job.submission.request.id, 0, task.step, task.index};
        if (auto *run = target->second->find({name, task.lastRunNumber})) {
            stop(*target->second, *run, toName(result.reason), now);
        }
    }
    endIfNoRunsLeft(job.submission.request.id, now);
}

/// Ends a job of which no task may be started any more. Its caller is told that it failed only if that is certain.
void Scheduler::endCrashingJob(ScheduledJob &job, TimePoint now)
{
    const bool certain = m_crashSuspects.verdictOnJob(job.submission.request.id) == CrashVerdict::Crashing;
    stopRunsAndEnd(job, {certain ? JobEnd::Failed : JobEnd::Abandoned, JobEndReason::CrashesTargets, Duration(0), {}}, now);
}

void Scheduler::endIfNoRunsLeft(const std::string &jobId, TimePoint now)
{
    auto *job = findJob(jobId);
    if (job != nullptr && job->pendingResult && !hasRuns(jobId)) {
        endJob(jobId, *job->pendingResult, now);
    }
}

void Scheduler::endJob(const std::string &jobId, const JobResult &result, TimePoint now)
{
    const auto found = m_jobs.find(jobId);
    if (found == m_jobs.end()) {
        return;
    }
    const auto job = std::move(found->second);
    m_jobs.erase(found);
    m_taskCount -= job->tasks.size();
    dequeue(*job);
    auto reported = result;
    const bool refused = result.end == JobEnd::NotRun && result.reason != JobEndReason::BetterElsewhere;
    if (refused && mayHaveRunBefore(job->submission, now)) {
        reported.end = JobEnd::Abandoned;
    }
    if (job->resultReported) {
        m_endedSubmissions.record(job->submission, reported, now);
    } else {
        reportEnd(job->submission, reported, now);
    }
    if (job->resubmission && isGranted(*job->resubmission, now)) {
        submit(std::move(*job->resubmission), now);
    } else if (job->resubmission) {
        const auto reason = m_lostRunsEndBy.contains(jobId) ? JobEndReason::TargetsLost : JobEndReason::GrantEnded;
        reportEnd(*job->resubmission, {JobEnd::Abandoned, reason, Seconds(1), {}}, now);
    }
}

/// True when an earlier submission of the job had a run, or may have had one on a target that is being claimed.
bool Scheduler::mayHaveRunBefore(const JobSubmission &submission, TimePoint now) const
{
    const auto service = m_services.find(submission.service);
    return mayHaveRun(submission.request.id, now)
        || (service != m_services.end()
            && std::any_of(service->second.targets.begin(), service->second.targets.end(), [](const TargetLedger *target) {
                   return target->ownership == Ownership::Claiming && target->failedProbes == 0;
               }));
}

void Scheduler::onHistoryLost(TimePoint now)
{
    m_recentlyRunJobs.markIncomplete(now);
}

bool Scheduler::mayHaveRun(const std::string &jobId, TimePoint now) const
{
    const auto id = jobIdOf(jobId);
    return m_recentlyRunJobs.mayContain(id, now) || m_runElsewhere.contains(id);
}

void Scheduler::onRunElsewhere(const std::string &jobId, TimePoint now)
{
    m_runElsewhere.record(jobIdOf(jobId), now);
}

bool Scheduler::hasRunHere(const std::string &jobId) const
{
    return m_recentlyRunJobs.contains(jobIdOf(jobId));
}

bool Scheduler::hasRuns(const std::string &jobId) const
{
    const auto found = m_jobs.find(jobId);
    return found != m_jobs.end() && found->second->count(TaskPhase::Assigned) > 0;
}

bool Scheduler::hasJobOf(const std::string &jobId, const std::string &entryHost, std::uint64_t number) const
{
    const auto &held = m_collidingJobs.submissions();
    const bool isHeld = std::any_of(held.begin(), held.end(), [&](const JobSubmission &submission) {
        return mayBeSameJob(submission.identity(), jobId) && isCancelledBy(submission, entryHost, number);
    });
    const auto *found = findJob(jobId);
    if (found == nullptr) {
        return isHeld;
    }
    const auto &job = *found;
    return isHeld || job.pendingResult || isCancelledBy(job.submission, entryHost, number)
        || (job.resubmission && isCancelledBy(*job.resubmission, entryHost, number));
}

/// The job with this id or, for a key with a route, the one that has that route too; null when it is not here.
ScheduledJob *Scheduler::findJob(const std::string &jobId) const
{
    const auto route = routeOf(jobId);
    const auto found = m_jobs.find(route.empty() ? jobId : jobIdOf(jobId));
    const bool isMeant = found != m_jobs.end() && (route.empty() || found->second->submission.route == route);
    return isMeant ? found->second.get() : nullptr;
}

/// Lets a submission wait for the end of the job of another route that has its id, or of runs under its id whose owner is not known.
void Scheduler::holdCollidingJob(JobSubmission submission, TimePoint now)
{
    const auto tasks = m_taskCount + m_collidingJobs.taskCount() + submission.taskCount();
    if (m_collidingJobs.submissions().size() >= m_limits.maxQueuedJobs || tasks > m_limits.maxTasks) {
        const auto end = mayHaveRunBefore(submission, now) ? JobEnd::Abandoned : JobEnd::NotRun;
        reportEnd(submission, {end, JobEndReason::QueueFull, Seconds(1), {}}, now);
        return;
    }
    m_observer.onJobQueued(submission, m_collidingJobs.submissions().size() + 1, Duration(0));
    m_collidingJobs.add(std::move(submission));
}

/// Submits the jobs that have waited for jobs or runs with their ids, and ends those that can't wait any longer.
void Scheduler::submitCollidingJobs(TimePoint now)
{
    const auto isFree = [this](const JobSubmission &submission) {
        return !m_jobs.contains(submission.request.id) && !mustWaitForOtherRuns(submission);
    };
    const auto due = m_collidingJobs.take([&](const JobSubmission &submission) {
        return now > submission.callerDeadline || !isGranted(submission, now) || isFree(submission);
    });
    for (const auto &submission : due) {
        if (now <= submission.callerDeadline && isGranted(submission, now)) {
            submit(submission, now);
        } else {
            endCollidingJob(submission, now > submission.callerDeadline ? JobEndReason::WaitedTooLong : JobEndReason::GrantEnded, {}, now);
        }
    }
}

void Scheduler::endCollidingJob(const JobSubmission &submission, JobEndReason reason, const std::string &elsewhere, TimePoint now)
{
    const bool isRefused = reason != JobEndReason::BetterElsewhere;
    const auto end = isRefused && mayHaveRunBefore(submission, now) ? JobEnd::Abandoned : JobEnd::NotRun;
    reportEnd(submission, {end, reason, Seconds(1), elsewhere}, now);
}

void Scheduler::setPeers(std::vector<PeerDispatcher> peers)
{
    m_peers = std::move(peers);
}

void Scheduler::redirectWaitingJobs(const std::string &dispatcher, TimePoint now)
{
    for (const auto &id : unstartedJobs()) {
        endJob(id, {JobEnd::NotRun, JobEndReason::BetterElsewhere, Seconds(1), dispatcher}, now);
    }
    for (const auto &submission : takeAllCollidingJobs()) {
        endCollidingJob(submission, JobEndReason::BetterElsewhere, dispatcher, now);
    }
}

void Scheduler::refuseWaitingJobs(JobEndReason reason, TimePoint now)
{
    for (const auto &id : unstartedJobs()) {
        endJob(id, {JobEnd::NotRun, reason, Seconds(1), {}}, now);
    }
    for (const auto &submission : takeAllCollidingJobs()) {
        endCollidingJob(submission, reason, {}, now);
    }
}

std::vector<JobSubmission> Scheduler::takeAllCollidingJobs()
{
    return m_collidingJobs.take([](const JobSubmission &) {
        return true;
    });
}

/// Jobs of which no task has started.
std::vector<std::string> Scheduler::unstartedJobs() const
{
    std::vector<std::string> ids;
    for (const auto &[id, job] : m_jobs) {
        if (!job->hasStarted() && !job->pendingResult) {
            ids.push_back(id);
        }
    }
    return ids;
}

void Scheduler::onTimeGap(TimePoint now)
{
    // The clock may not count the time of a suspension, so that grants which were confirmed before it prove nothing.
    m_grants.endAll(m_claimCount, now);
    ++m_claimCount;
    updateGrants(now);
    std::vector<ScheduledJob *> jobs;
    for (const auto &[id, job] : m_jobs) {
        jobs.push_back(job.get());
    }
    for (auto *job : jobs) {
        const bool unstarted = !job->hasStarted();
        const auto end = unstarted ? JobEnd::NotRun : JobEnd::Abandoned;
        stopRunsAndEnd(*job, {end, JobEndReason::TargetsLost, Seconds(1), {}}, now);
    }
}

void Scheduler::onTakeoverComplete(const std::string &lostDispatcher, TimePoint now)
{
    bool released = false;
    for (const auto &[id, job] : m_jobs) {
        if (job->submission.lostDispatcher == lostDispatcher && job->submission.lostDispatcherRunsEndBy > now) {
            job->submission.lostDispatcherRunsEndBy = now;
            markRunsWithoutGrant(*job, now);
            released = true;
        }
    }
    if (!released) {
        return;
    }
    for (const auto &[name, service] : m_services) {
        schedule(name, now);
    }
}

void Scheduler::onLostDispatcherDone(
    const std::string &jobId, const std::string &lostDispatcher, const std::string &entryHost, std::uint64_t number, TimePoint now)
{
    auto *job = findJob(jobId);
    if (job == nullptr || job->submission.entryHost != entryHost) {
        return;
    }
    const auto waiting = job->submission.number;
    const bool isCovered = number == 0 || (areOfOneProcess(waiting, number) && waiting <= number);
    if (isCovered && job->submission.lostDispatcher == lostDispatcher && job->submission.lostDispatcherRunsEndBy > now) {
        job->submission.lostDispatcherRunsEndBy = now;
        markRunsWithoutGrant(*job, now);
        schedule(job->submission.service, now);
    }
}

void Scheduler::endInfeasibleJobs(TimePoint now)
{
    std::vector<std::pair<std::string, bool>> infeasible;
    const auto overdueWaits = waitsOfOverdueJobs(now);
    for (const auto &[id, job] : m_jobs) {
        if (job->pendingResult) {
            continue;
        }
        const auto remainingTime = job->hasStarted() ? Duration(0) : shortestCompletionTime(*job, now);
        // An overdue job waits behind all others, which may take longer than its caller waits.
        const auto overdue = overdueWaits.find(id);
        const auto wait = overdue == overdueWaits.end() ? Duration(0) : overdue->second;
        if (now + wait + remainingTime > job->submission.callerDeadline) {
            infeasible.emplace_back(id, job->hasStarted());
        }
    }
    for (const auto &[id, started] : infeasible) {
        auto &job = *m_jobs.at(id);
        auto &service = m_services[job.submission.service];
        if (started) {
            stopRunsAndEnd(job, {JobEnd::Abandoned, JobEndReason::WaitedTooLong, Duration(0), {}}, now);
        } else {
            endJob(id, {JobEnd::NotRun, JobEndReason::WaitedTooLong, retryAfter(service, id, now), {}}, now);
        }
    }
}

std::unordered_set<std::string> Scheduler::entryHosts() const
{
    std::unordered_set<std::string> hosts;
    for (const auto &[id, job] : m_jobs) {
        hosts.insert(job->submission.entryHost);
        if (job->resubmission) {
            hosts.insert(job->resubmission->entryHost);
        }
    }
    for (const auto &submission : m_collidingJobs.submissions()) {
        hosts.insert(submission.entryHost);
    }
    return hosts;
}

std::size_t Scheduler::jobCount() const
{
    return m_jobs.size() + m_collidingJobs.submissions().size();
}
} // namespace Anvilcart::Fleet
