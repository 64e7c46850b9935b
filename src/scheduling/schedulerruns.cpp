#include "scheduling/scheduler.h"

#include <algorithm>

// Runs: answers to starts and stops, ends, failures, hung runs.
namespace Anvilcart::Fleet
{
namespace
{
/// An order without an answer is repeated after this time: several round trips, and far below the time in which a stop must take effect.
constexpr Milliseconds StopRepeat {200};
/// Runs of jobs that nobody here knows are stopped after this time, unless their job comes.
constexpr Milliseconds OrphanGrace {250};
/// A run is called hung when it exceeds this many times its expected time and makes no progress; on a slow target it makes some.
constexpr double HungFactor = 2.5;
constexpr Milliseconds HungMargin {150};
constexpr Milliseconds NoProgressTime {400};
/// Round trips blur the comparison of shorter tasks.
constexpr double ShortestComparedMs = 20;
} // namespace

void Scheduler::stop(TargetLedger &target, LedgerRun &run, const char *cause, TimePoint now)
{
    if (!run.stopWanted) {
        m_observer.onStop(target.entry().id, run.name, cause);
    }
    run.stopWanted = true;
    run.stopInFlight = true;
    run.stopSentAt = now;
    StopRequest order;
    order.name = run.name;
    order.fencingToken = target.fencingToken();
    m_port.sendStop(target.entry().id, order);
}

void Scheduler::onStartReply(const std::string &targetId, const RunName &name, const TargetReply &reply, TimePoint now)
{
    const auto found = m_targets.find(targetId);
    if (found == m_targets.end()) {
        return;
    }
    auto &target = *found->second;
    if (reply.fencingToken != target.fencingToken()) {
        return;
    }
    if (reply.result != RequestResult::Unknown && reply.result != RequestResult::NotSent) {
        target.lastAnswerAt = now;
        target.clock.onReading(reply.clockMs, now);
    }
    auto *run = target.find(name);
    if (run == nullptr) {
        return;
    }
    if (reply.result == RequestResult::Accepted) {
        if (run->phase != RunPhase::Running) {
            run->phase = RunPhase::Running;
            run->confirmedAt = now;
            run->progressAt = now;
        }
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
    if (reply.result == RequestResult::Unknown) {
        run->phase = RunPhase::Unconfirmed;
        if (!target.renewalInFlight) {
            renew(target, now);
        }
        return;
    }
    const EndedLedgerRun refused {*run, RunEnd::LeaseExpired, false};
    target.dropRun(name);
    if (reply.result == RequestResult::Rejected || reply.result == RequestResult::InsufficientCapacity) {
        eject(target, EjectionCause::FailedRuns, now);
    }
    if (reply.result == RequestResult::NotSent) {
        target.silent = true;
        target.nextProbeAt = now;
        m_observer.onTargetSilence(targetId, true, 0);
    }
    if (reply.result == RequestResult::WrongIncarnation) {
        target.leaving = true;
    }
    onRunEnded(target, refused, now);
    schedule(target.entry().service, now);
}

/// A start that was not answered and shows in no listing may still take effect. A stop makes sure that it does not, so that its room
/// need not be kept until its deadline.
void Scheduler::preventUnconfirmed(TargetLedger &target, TimePoint now)
{
    for (auto &[name, run] : target.runs()) {
        if (run.phase == RunPhase::Unconfirmed && !run.stopWanted) {
            stop(target, run, "unconfirmed start", now);
        }
    }
}

void Scheduler::onStopReply(const std::string &targetId, const RunName &name, const TargetReply &reply, TimePoint now)
{
    const auto found = m_targets.find(targetId);
    if (found == m_targets.end()) {
        return;
    }
    auto &target = *found->second;
    if (reply.fencingToken != target.fencingToken()) {
        return;
    }
    if (reply.result == RequestResult::Fenced) {
        m_port.onTargetLost(targetId, target.ownership != Ownership::Claiming);
        return;
    }
    if (auto *run = target.find(name)) {
        run->stopInFlight = false;
        if (reply.result == RequestResult::Accepted) {
            run->stoppedAt = now;
        }
    }
    if (reply.result != RequestResult::Unknown && reply.result != RequestResult::NotSent) {
        target.lastAnswerAt = now;
        if (!target.renewalInFlight) {
            renew(target, now);
        }
    }
}

void Scheduler::onAdopted(TargetLedger &target, const RunName &name, TimePoint)
{
    auto *job = findJob(name.task.jobId);
    auto *task = job == nullptr ? nullptr : job->find(name.task);
    if (task == nullptr || job->ending || (task->phase != TaskPhase::Waiting && task->phase != TaskPhase::Blocked)) {
        return;
    }
    task->phase = TaskPhase::Assigned;
    task->target = target.entry().id;
    task->lastRun = std::max(task->lastRun, name.run);
    job->started = true;
    const auto &step = job->order.request.steps[task->step];
    target.identifyRun(name, step.demand);
    if (auto *run = target.find(name)) {
        run->estimate = step.estimate;
        run->expected = job->expected[task->step];
    }
}

void Scheduler::onRunEnded(TargetLedger &target, const EndedLedgerRun &ended, TimePoint now)
{
    auto *job = findJob(ended.run.name.task.jobId);
    auto *task = job == nullptr ? nullptr : job->find(ended.run.name.task);
    const auto runTime = ended.run.phase == RunPhase::Running ? now - ended.run.confirmedAt : Duration(0);
    m_observer.onRunEnd(job == nullptr ? nullptr : &job->order, target.entry().id, ended.run.name, ended.end, runTime);
    if (task == nullptr || task->phase != TaskPhase::Assigned || task->target != target.entry().id || task->lastRun != ended.run.name.run) {
        return;
    }
    if (ended.end == RunEnd::Done) {
        onTaskDone(*job, *task, target, ended.run, now);
        return;
    }
    task->phase = TaskPhase::Waiting;
    task->target.clear();
    if (ended.end == RunEnd::Failed && !job->ending) {
        onTaskFailed(*job, *task, target, now);
        // The last attempt of the last run ends the job.
        job = findJob(ended.run.name.task.jobId);
    }
    if (job == nullptr) {
        return;
    }
    if (job->ending) {
        finishIfOver(ended.run.name.task.jobId, now);
        return;
    }
    enqueue(*job, now);
}

void Scheduler::onTaskDone(ScheduledJob &job, ScheduledTask &task, TargetLedger &target, const LedgerRun &run, TimePoint now)
{
    if (run.expected > Duration(0) && run.phase == RunPhase::Running) {
        const auto runTime = now - run.sentAt;
        m_runTimes.onRun(job.order.route, run.estimate, runTime, target.health.slowness(now));
        target.health.onDone(run.expected, runTime, now);
        task.doneOn = target.entry().id;
        task.runTime = runTime;
    }
    job.onTaskDone(task);
    const auto id = job.order.request.id;
    if (job.isDone()) {
        compareTargets(job, now);
        endJob(id, {JobEnd::Completed, JobEndReason::AllTasksDone, Duration(0), {}}, now);
    } else if (job.ending) {
        finishIfOver(id, now);
    } else {
        enqueue(job, now);
    }
}

/// Tasks of one job hardly differ but for the targets that they ran on.
void Scheduler::compareTargets(const ScheduledJob &job, TimePoint now)
{
    for (std::uint32_t step = 0; step < job.order.request.steps.size(); ++step) {
        std::vector<std::pair<TargetLedger *, double>> runs;
        double total = 0;
        for (const auto &task : job.tasks) {
            const auto target = m_targets.find(task.doneOn);
            if (task.step != step || task.runTime <= Duration(0) || target == m_targets.end()) {
                continue;
            }
            runs.emplace_back(target->second.get(), toMilliseconds(task.runTime));
            total += toMilliseconds(task.runTime) / target->second->health.slowness(now);
        }
        const double mean = total / static_cast<double>(std::max<std::size_t>(1, runs.size()));
        if (runs.size() < 2 || mean < ShortestComparedMs) {
            continue;
        }
        for (const auto &[target, runTime] : runs) {
            m_runTimes.onSpread(job.order.route, runTime / mean / target->health.slowness(now));
            target->health.onCompared(runTime / mean, now);
        }
    }
}

void Scheduler::onTaskFailed(ScheduledJob &job, ScheduledTask &task, TargetLedger &target, TimePoint now)
{
    const auto &id = target.entry().id;
    ++task.failures;
    task.avoid.insert(id);
    const bool failedElsewhere = !job.failedTargets.empty() && !(job.failedTargets.size() == 1 && job.failedTargets.contains(id));
    job.failedTargets.insert(id);
    if (target.health.onFailed(job.order.request.id, failedElsewhere)) {
        eject(target, EjectionCause::FailedRuns, now);
    }
    if (task.failures >= job.order.maxAttempts) {
        beginEnding(job, {JobEnd::Failed, JobEndReason::AttemptsExhausted, Duration(0), {}}, now);
    }
}

/// Gives the target no work for a while, unless half of its service's targets are out already: then the fault is hardly theirs.
void Scheduler::eject(TargetLedger &target, EjectionCause cause, TimePoint now)
{
    const auto &targets = m_services[target.entry().service].targets;
    const auto out = std::count_if(targets.begin(), targets.end(), [now](const TargetLedger *other) {
        return other->health.isEjected(now);
    });
    if (target.health.isEjected(now) || 2 * (static_cast<std::size_t>(out) + 1) > targets.size()) {
        return;
    }
    target.health.eject(now);
    m_observer.onEjection(target.entry().id, cause, target.health.ejectionPause());
}

void Scheduler::watchRuns(TargetLedger &target, TimePoint now)
{
    for (auto &[name, run] : target.runs()) {
        if (run.stopWanted) {
            if (now - run.stopSentAt >= StopRepeat && !target.silent) {
                stop(target, run, "repeated", now);
            }
            continue;
        }
        const auto *job = findJob(name.task.jobId);
        if (job == nullptr) {
            if (run.phase == RunPhase::Running && now - run.confirmedAt > OrphanGrace) {
                stop(target, run, "unknown job", now);
            }
            continue;
        }
        // What a target that does not answer does with its runs is not known.
        if (run.phase != RunPhase::Running || run.expected == Duration(0) || target.silent) {
            continue;
        }
        const auto soFar = now - run.confirmedAt;
        target.health.onStillRunning(run.expected, soFar, now);
        const auto limit = std::chrono::duration_cast<Duration>(run.expected * HungFactor) + HungMargin;
        if (soFar > limit && target.lastAnswerAt - run.progressAt > NoProgressTime) {
            eject(target, EjectionCause::HungRun, now);
            if (auto *task = findJob(name.task.jobId)->find(name.task)) {
                task->avoid.insert(target.entry().id);
            }
            stop(target, run, "no progress", now);
        }
    }
}
} // namespace Anvilcart::Fleet
