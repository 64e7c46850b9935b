#include "scheduling/scheduler.h"

#include <algorithm>

// Runs: replies to starts and stops, ended runs, failures and hung runs.
namespace Anvilcart::Fleet
{
namespace
{
/// A stop that stays unanswered though it was repeated is sent again after this time.
constexpr Milliseconds StopRepeatInterval {200};
/// An unanswered start or stop is repeated this often before its run is given up or the stop pauses.
constexpr std::uint32_t MaxRepetitions = 3;
/// A target whose clock reads this much less than expected has restarted: replies are less late than that, and its clock is steady.
constexpr Milliseconds RestartClockGap {1000};
/// Runs of unknown jobs are stopped after this time unless the job is submitted.
constexpr Milliseconds UnknownJobGracePeriod {250};
/// A run counts as hung when it exceeds this multiple of its expected run time, plus a margin, and reports no progress. On a slow target a
/// run still reports progress.
constexpr double HungRunFactor = 2.5;
constexpr Milliseconds HungRunMargin {150};
constexpr Milliseconds NoProgressLimit {400};
/// Shorter tasks are not compared because round trips distort the result.
constexpr double MinComparedMs = 20;

/// True if a start with this result extends the leases of the target to its deadline.
bool takesDeadline(RequestResult result)
{
    return result == RequestResult::Accepted || result == RequestResult::RunOutdated || result == RequestResult::InsufficientCapacity;
}
} // namespace

void Scheduler::stop(TargetLedger &target, LedgerRun &run, const char *cause, TimePoint now)
{
    if (!run.stopRequested) {
        m_observer.onStop(target.entry().id, run.name, cause);
    }
    run.stopRequested = true;
    run.stopRepetitions = 0;
    m_repeatBudget.onFirstRequest();
    sendStop(target, run, now);
}

void Scheduler::sendStop(const TargetLedger &target, LedgerRun &run, TimePoint now)
{
    run.stopInFlight = true;
    run.stopSentAt = now;
    StopRequest request;
    request.name = run.name;
    request.fencingToken = target.fencingToken();
    request.repetitions = run.stopRepetitions;
    m_port.sendStop(target.entry().id, request);
}

void Scheduler::sendStart(const ScheduledJob &job, const TargetLedger &target, LedgerRun &run)
{
    ++run.unansweredStarts;
    StartRequest request;
    request.name = run.name;
    request.payload = job.submission.request.payload;
    request.leaseUntilMs = run.startDeadlineMs;
    request.fencingToken = run.fencingToken;
    request.repetitions = run.startRepetitions;
    m_port.sendStart(target.entry().id, request);
}

/// Repeats an unanswered start. The target starts the run once, whichever of the requests it receives first.
bool Scheduler::repeatStart(const TargetLedger &target, LedgerRun &run, TimePoint now)
{
    const auto *job = jobOf(run);
    const bool mayRepeat = job != nullptr && !run.stopRequested && target.mayExtendLeases(now) && !target.unresponsive
        && run.fencingToken == target.fencingToken() && target.ownership != Ownership::Claiming && m_isEvacuationKnown
        && target.zoneAccess.admits(true, now);
    if (!mayRepeat || run.startRepetitions >= MaxRepetitions || !m_repeatBudget.takeRepeat()) {
        return false;
    }
    ++run.startRepetitions;
    run.startInFlight = true;
    m_observer.onRepeat(target.entry().id, run.name, "start");
    sendStart(*job, target, run);
    return true;
}

/// The target, if it is held under this token: a reply under another one belongs to an earlier claim of it.
TargetLedger *Scheduler::findTarget(const std::string &id, std::uint64_t fencingToken) const
{
    const auto found = m_targets.find(id);
    return found != m_targets.end() && found->second->fencingToken() == fencingToken ? found->second.get() : nullptr;
}

void Scheduler::onStartReply(const std::string &targetId, const RunName &name, const TargetReply &reply, TimePoint now)
{
    updateGrants(now);
    const auto held = m_targets.find(targetId);
    if (held == m_targets.end()) {
        return;
    }
    auto &target = *held->second;
    auto *run = target.find(name);
    // A target that has restarted carries out orders under the earlier token until it receives the next claim, and a lease lasts beyond
    // that.
    if (run != nullptr && run->fencingToken == reply.fencingToken && takesDeadline(reply.result)) {
        target.recordDeadlineTaken(*run, reply.clockMs, now);
    }
    if (run != nullptr && run->fencingToken == reply.fencingToken && reply.result != RequestResult::Unknown && run->unansweredStarts > 0) {
        --run->unansweredStarts;
    }
    if (reply.fencingToken != target.fencingToken()) {
        return;
    }
    if (run != nullptr && reply.result == RequestResult::Accepted) {
        target.confirmStart(*run, now);
    }
    target.restartSuspected = target.restartSuspected || reply.result == RequestResult::ConnectionClosed;
    if (isAnswer(reply.result)) {
        target.lastAnswerAt = now;
        if (target.clock.isKnown() && reply.clockMs > 0 && Milliseconds(target.clock.estimateMs(now) - reply.clockMs) > RestartClockGap) {
            target.restartSuspected = true;
            requestListing(target, now);
        }
        target.clock.onReading(reply.clockMs, now);
    }
    if (run == nullptr) {
        return;
    }
    run->startInFlight = false;
    if (reply.result == RequestResult::Accepted) {
        if (!target.renewalInFlight) {
            renew(target, now);
        }
        return;
    }
    m_observer.onStartRefused(targetId, name, reply.result);
    if (reply.result == RequestResult::Fenced) {
        m_port.onTargetLost(targetId, target.ownership != Ownership::Claiming);
        return;
    }
    if (run->phase == RunPhase::Running) {
        return;
    }
    // What a repetition was told does not hold for the requests before it, which may have taken effect or may still do so.
    if (reply.result == RequestResult::Unknown || run->startRepetitions > 0) {
        run->phase = RunPhase::Unconfirmed;
        if (reply.result == RequestResult::RunOutdated) {
            run->stopRequested = true;
            run->stoppedAt = now;
        }
        if (reply.result != RequestResult::Unknown || !repeatStart(target, *run, now)) {
            requestListing(target, now);
        }
        return;
    }
    const EndedLedgerRun refused {*run, RunEnd::LeaseExpired, false};
    target.dropRun(name);
    if (reply.result == RequestResult::Rejected || reply.result == RequestResult::InsufficientCapacity) {
        eject(target, EjectionCause::FailedRuns, now);
    }
    if (reply.result == RequestResult::NotSent) {
        target.unresponsive = true;
        target.nextProbeAt = now;
        m_observer.onTargetResponsivenessChanged(targetId, true, 0);
    }
    if (reply.result == RequestResult::WrongIncarnation) {
        target.leaving = true;
        target.replaced = true;
    }
    if (reply.result == RequestResult::ConnectionClosed) {
        requestListing(target, now);
    }
    onRunEnded(target, refused, now);
    schedule(target.entry().service, now);
}

/// An unanswered start that is not in the target's listing may still take effect. A stop prevents that, so that its capacity need not stay
/// reserved until its deadline.
void Scheduler::stopUnconfirmedStarts(TargetLedger &target, TimePoint now)
{
    for (auto &[name, run] : target.runs()) {
        if (run.phase == RunPhase::Unconfirmed && !run.startInFlight && !run.stopRequested) {
            stop(target, run, "unconfirmed start", now);
        }
    }
}

void Scheduler::onStopReply(const std::string &targetId, const RunName &name, const TargetReply &reply, TimePoint now)
{
    updateGrants(now);
    auto *found = findTarget(targetId, reply.fencingToken);
    if (found == nullptr) {
        return;
    }
    auto &target = *found;
    if (reply.result == RequestResult::Fenced) {
        m_port.onTargetLost(targetId, target.ownership != Ownership::Claiming);
        return;
    }
    auto *run = target.find(name);
    if (run != nullptr) {
        run->stopInFlight = false;
        if (reply.result == RequestResult::Accepted) {
            run->stoppedAt = now;
        }
    }
    if (isAnswer(reply.result)) {
        target.lastAnswerAt = now;
        requestListing(target, now);
    } else if (run != nullptr && !target.unresponsive && run->stopRepetitions < MaxRepetitions && m_repeatBudget.takeRepeat()) {
        ++run->stopRepetitions;
        m_observer.onRepeat(targetId, name, "stop");
        sendStop(target, *run, now);
    }
}

/// Reports the runs whose end the target did not list. Called before the end of each of them is handled.
void Scheduler::onRunsLost(
    TargetLedger &target, LossEvidence evidence, TimePoint lastAnswerAt, const std::vector<EndedLedgerRun> &ended, TimePoint now)
{
    TargetLoss loss;
    loss.target = target.entry().id;
    loss.evidence = evidence;
    loss.lastAnswerAt = lastAnswerAt;
    loss.listedAt = target.listedAt;
    for (const auto &run : ended) {
        if (!run.listed) {
            loss.runs.push_back(run.run);
        }
        if (!run.listed && findJob(run.run.name.task.jobId) != jobOf(run.run)) {
            // The loss of another job's run is no crash of this one's task.
            loss.runs.back().route.reset();
        }
    }
    if (loss.runs.empty()) {
        return;
    }
    m_observer.onRunsLost(loss, now);
    if (target.entry().draining || target.entryGone) {
        // Targets that leave end their runs.
        return;
    }
    const auto &serviceTargets = m_services[target.entry().service].targets;
    std::set<std::string> jobs;
    for (const auto &name : m_crashSuspects.onTargetLost(loss, otherSilentTargets(target, now), serviceTargets.size(), now)) {
        auto *job = findJob(name.jobId);
        if (auto *task = job == nullptr ? nullptr : job->find(name)) {
            task->avoidedTargets.insert(loss.target);
            jobs.insert(name.jobId);
        }
    }
    for (const auto &id : jobs) {
        m_crashSuspects.setRoute(id, findJob(id)->submission.route);
        m_port.onCrashRecords(findJob(id)->submission, m_crashSuspects.recordsOf(id));
    }
}

/// The last answers of the other targets of the service that do not answer and have runs whose loss is not reported yet, but for those that
/// a suspected task has for itself: their loss was to be expected.
std::vector<TimePoint> Scheduler::otherSilentTargets(const TargetLedger &lost, TimePoint now) const
{
    std::vector<TimePoint> lastAnswers;
    for (const auto *target : m_services.at(lost.entry().service).targets) {
        const bool holdsRuns = (!target->runs().empty() && !target->haveLeasesEnded(now))
            || std::any_of(target->runs().begin(), target->runs().end(), [](const auto &run) {
                                   return run.second.phase == RunPhase::Running;
                               });
        if (target != &lost && target->unresponsive && holdsRuns && !target->hasRunAlone()) {
            lastAnswers.push_back(target->lastAnswerAt);
        }
    }
    return lastAnswers;
}

void Scheduler::onRunEnded(TargetLedger &target, const EndedLedgerRun &ended, TimePoint now)
{
    auto *job = findJob(ended.run.name.task.jobId);
    auto *task = job == nullptr ? nullptr : job->find(ended.run.name.task);
    const bool isOwn = job != nullptr && jobOf(ended.run) == job;
    const auto runTime = ended.run.phase == RunPhase::Running ? now - ended.run.confirmedAt : Duration(0);
    m_observer.onRunEnd(isOwn ? &job->submission : nullptr, target.entry().id, ended.run.name, ended.end, runTime);
    if (ended.run.alone) {
        m_crashSuspects.onEndedAlone(ended.run.name.task);
    }
    if (task == nullptr || task->phase != TaskPhase::Assigned || task->target != target.entry().id
        || task->lastRunNumber != ended.run.name.run) {
        return;
    }
    if (ended.end == RunEnd::Done && isOwn) {
        onTaskDone(*job, *task, target, ended.run, now);
        return;
    }
    if (ended.run.phase == RunPhase::Unconfirmed) {
        task->avoidedTargets.insert(target.entry().id);
    }
    job->returnTask(*task);
    if (ended.end == RunEnd::Failed && isOwn && !job->pendingResult) {
        onTaskFailed(*job, *task, target, now);
    } else if (m_crashSuspects.verdictOn(ended.run.name.task) != CrashVerdict::Startable) {
        endCrashingJob(*job, now);
    }
    // The job is gone if this was its last allowed attempt and its last run.
    job = findJob(ended.run.name.task.jobId);
    if (job == nullptr) {
        return;
    }
    if (job->pendingResult) {
        endIfNoRunsLeft(ended.run.name.task.jobId, now);
        return;
    }
    enqueue(*job, now);
}

void Scheduler::onTaskDone(ScheduledJob &job, ScheduledTask &task, TargetLedger &target, const LedgerRun &run, TimePoint now)
{
    if (run.expectedRunTime > Duration(0) && run.phase == RunPhase::Running && !run.isPartlyFar) {
        const auto runTime = now - run.sentAt;
        // A far run is no sign of a longer task or of a slow target.
        const auto nearRunTime = std::chrono::duration_cast<Duration>(runTime / run.farFactor);
        m_runTimes.onRun(job.submission.route, run.estimate, nearRunTime, target.health.slowness(now));
        target.health.onRunCompleted(run.expectedRunTime, runTime, now);
        task.completedOn = target.entry().id;
        task.runTime = nearRunTime;
    }
    job.onTaskDone(task);
    const auto id = job.submission.request.id;
    if (job.isDone()) {
        compareTargets(job, now);
        m_crashSuspects.clear(id);
        endJob(id, {JobEnd::Completed, JobEndReason::AllTasksDone, Duration(0), {}}, now);
    } else if (job.pendingResult) {
        endIfNoRunsLeft(id, now);
    } else {
        enqueue(job, now);
    }
}

/// Compares the speeds of targets that ran tasks of one step, since such tasks differ little except for their targets.
void Scheduler::compareTargets(const ScheduledJob &job, TimePoint now)
{
    for (std::uint32_t step = 0; step < job.submission.request.steps.size(); ++step) {
        std::vector<std::pair<TargetLedger *, double>> runs;
        double total = 0;
        for (const auto &task : job.tasks) {
            const auto target = m_targets.find(task.completedOn);
            if (task.step != step || task.runTime <= Duration(0) || target == m_targets.end()) {
                continue;
            }
            runs.emplace_back(target->second.get(), toMilliseconds(task.runTime));
            total += toMilliseconds(task.runTime) / target->second->health.slowness(now);
        }
        const double mean = total / static_cast<double>(std::max<std::size_t>(1, runs.size()));
        if (runs.size() < 2 || mean < MinComparedMs) {
            continue;
        }
        for (const auto &[target, runTime] : runs) {
            m_runTimes.onTaskRatio(job.submission.route, runTime / mean / target->health.slowness(now));
            target->health.onJobComparison(runTime / mean, now);
        }
    }
}

void Scheduler::onTaskFailed(ScheduledJob &job, ScheduledTask &task, TargetLedger &target, TimePoint now)
{
    const auto &id = target.entry().id;
    ++task.failures;
    task.avoidedTargets.insert(id);
    const bool failedElsewhere = !job.failedTargets.empty() && !(job.failedTargets.size() == 1 && job.failedTargets.contains(id));
    job.failedTargets.insert(id);
    if (target.health.onRunFailed(job.submission.request.id, failedElsewhere)) {
        eject(target, EjectionCause::FailedRuns, now);
    }
    if (task.failures >= job.submission.maxAttempts) {
        stopRunsAndEnd(job, {JobEnd::Failed, JobEndReason::AttemptsExhausted, Duration(0), {}}, now);
    }
}

/// Ejects the target unless that would put more than half of its service's targets out of use, since the cause is then unlikely to be the
/// targets.
void Scheduler::eject(TargetLedger &target, EjectionCause cause, TimePoint now)
{
    const auto &targets = m_services[target.entry().service].targets;
    const auto ejected = std::count_if(targets.begin(), targets.end(), [now](const TargetLedger *other) {
        return other->health.isEjected(now);
    });
    if (target.health.isEjected(now) || 2 * (static_cast<std::size_t>(ejected) + 1) > targets.size()) {
        return;
    }
    target.health.eject(now);
    m_observer.onEjection(target.entry().id, cause, target.health.ejectionDuration());
}

void Scheduler::checkRuns(TargetLedger &target, TimePoint now)
{
    for (auto &[name, run] : target.runs()) {
        if (run.stopRequested) {
            if (now - run.stopSentAt >= StopRepeatInterval && !run.stopInFlight && !target.unresponsive) {
                stop(target, run, "repeated", now);
            }
            continue;
        }
        if (jobOf(run) == nullptr) {
            if (run.phase == RunPhase::Running && now - run.confirmedAt > UnknownJobGracePeriod) {
                stop(target, run, "unknown job", now);
            }
            continue;
        }
        // The progress of runs on an unresponsive target is unknown.
        if (run.phase != RunPhase::Running || run.expectedRunTime == Duration(0) || target.unresponsive) {
            continue;
        }
        const auto elapsed = now - run.confirmedAt;
        target.health.onStillRunning(run.expectedRunTime, elapsed, now);
        const auto limit = std::chrono::duration_cast<Duration>(run.expectedRunTime * HungRunFactor) + HungRunMargin;
        if (elapsed > limit && target.lastAnswerAt - run.progressAt > NoProgressLimit) {
            eject(target, EjectionCause::HungRun, now);
            if (auto *task = findJob(name.task.jobId)->find(name.task)) {
                task->avoidedTargets.insert(target.entry().id);
            }
            stop(target, run, "no progress", now);
        }
    }
}
} // namespace Anvilcart::Fleet
