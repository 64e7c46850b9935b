#include "dispatch/dispatcher.h"

#include "dispatch/keyrules.h"

#include <algorithm>
#include <cassert>

namespace Anvilcart
{
namespace
{
constexpr Milliseconds RetryWhenNotReady {500};
constexpr Seconds LeavingRefusalPeriod {60};
constexpr Milliseconds PauseAfterRefusal {500};
/// How long after the deadline a stopped task may still report its outcome before its connection is closed.
constexpr Milliseconds StopGracePeriod {2000};
} // namespace

/// Applies an outcome to its task.
struct OutcomeVisitor
{
    Dispatcher &dispatcher;
    JobRecord &job;
    std::uint32_t task;
    TimePoint now;

    void operator()(TaskFinished &finished) const
    {
        dispatcher.finishTask(job, task, std::move(finished.output), now);
    }

    void operator()(const TaskRanAndFailed &failed) const
    {
        dispatcher.transition(job.tasks[task], TaskState::Finished);
        if (dispatcher.m_claimProvider != nullptr) {
            dispatcher.m_claimProvider->recordFailed(job.id, task, failed.message);
        }
        dispatcher.failJob(
            job, ResultCode::TaskFailed, ResultCode::TaskFailed, "task '" + job.spec.tasks[task].id + "' failed: " + failed.message, now);
    }

    void operator()(const TaskStopped &) const
    {
        dispatcher.transition(job.tasks[task], TaskState::Cancelled);
        dispatcher.failJob(
            job, ResultCode::TaskFailed, ResultCode::TaskFailed, "task '" + job.spec.tasks[task].id + "' was stopped at the target", now);
    }

    void operator()(const TaskNotStarted &notStarted) const
    {
        dispatcher.requeue(job, task, notStarted.reason, now);
    }

    void operator()(const TaskLost &lost) const
    {
        dispatcher.transition(job.tasks[task], TaskState::Unknown);
        dispatcher.failJob(job,
                           ResultCode::TaskOutcomeUnknown,
                           ResultCode::TaskOutcomeUnknown,
                           "task '" + job.spec.tasks[task].id + "' was sent and not answered: " + lost.error,
                           now);
    }
};

Dispatcher::Dispatcher(HostIdentity identity, TargetPort &targets, DispatchObserver &observer)
    : m_identity(std::move(identity))
    , m_targets(targets)
    , m_observer(observer)
    , m_health([this](TargetIndex, EjectionReason reason) {
        m_observer.onEjection(reason);
    })
    , m_queue(m_teams)
{
}

void Dispatcher::applyConfiguration(std::shared_ptr<const Configuration> configuration, TimePoint now)
{
    m_configuration = std::move(configuration);
    m_queue.setOrder(makeQueueOrder(m_configuration->policy));
    const auto targets = m_slots.applyTargets(m_configuration->targets, m_identity.zone);
    for (const auto index : targets) {
        m_targets.configure(index, m_slots.at(index).spec);
    }
    m_retryBudget.configure(m_configuration->retries);
    m_health.configure(m_configuration->health, targets);
    m_capacities.apply(m_configuration->targets, m_identity.zone);
    for (const auto id : m_jobs.ids()) {
        auto &job = *m_jobs.find(id);
        updateTargetMasks(job);
        m_queue.update(job);
    }
    applyMembers(m_members, now);
}

void Dispatcher::applyMembers(std::vector<std::string> members, TimePoint now)
{
    m_members = std::move(members);
    if (m_configuration) {
        m_slots.applyMembers(m_members, m_identity.host, m_configuration->policy.slotSharing);
        m_teams.apply(*m_configuration, m_identity.zone, m_members, m_identity.host);
        shareSlotsAndStartTasks(now);
    }
}

void Dispatcher::setSlotSharing(SlotSharing &sharing)
{
    m_sharing = &sharing;
}

void Dispatcher::changeSlots(const std::function<void(const SharingView &)> &change, TimePoint now)
{
    change(sharingView(now));
    shareSlotsAndStartTasks(now);
}

void Dispatcher::applyLeavingTargets(const std::unordered_set<std::string> &names)
{
    m_slots.applyLeaving(names);
}

std::optional<JobId> Dispatcher::submit(JobSpec spec, AnswerHandler answer, TimePoint now)
{
    if (!m_configuration) {
        answerRefusal(spec, answer, {ResultCode::NotReady, "no configuration is known yet", RetryWhenNotReady});
        return std::nullopt;
    }
    if (m_jobs.contains(spec.submission)) {
        answerRefusal(
            spec, answer, {ResultCode::DuplicateSubmission, "submission '" + spec.submission + "' is in progress", Milliseconds(0)});
        return std::nullopt;
    }
    const auto expected = forecast(spec, m_runTimes, now);
    if (const auto refusal = checkAdmission(spec, *m_configuration, m_slots, loadView(spec, expected, now))) {
        answerRefusal(spec, answer, *refusal);
        return std::nullopt;
    }
    auto &job = m_jobs.add(std::move(spec), std::move(answer), now);
    const auto id = job.id;
    admit(job, expected, now);
    shareSlotsAndStartTasks(now);
    return id;
}

LoadView Dispatcher::loadView(const JobSpec &spec, const JobForecast &forecast, TimePoint now) const
{
    LoadView load;
    load.unstartedTasks = m_queue.unstartedTasks();
    load.queuedWork = m_queue.work();
    load.workAhead = m_queue.workAhead(spec.tasks.size());
    load.jobWork = forecast.learnedWork;
    load.longestTask = forecast.longestTask;
    load.slots = m_slots.servingSlots(now);
    if (const auto team = m_teams.find(spec.team)) {
        load.teamSlots = m_teams.limit(*team);
        load.teamWorkAhead = m_queue.workAhead(spec.tasks.size(), *team);
    }
    load.draining = m_draining;
    return load;
}

void Dispatcher::admit(JobRecord &job, const JobForecast &forecast, TimePoint now)
{
    job.configuration = m_configuration;
    job.deadline = now + effectiveDeadline(job.spec, m_configuration->limits);
    job.team = *m_teams.find(job.spec.team);
    applyForecast(job, forecast);
    updateTargetMasks(job);
    job.latestStart = latestStart(job, m_slots.zoneSlots());
    m_deadlines.add(job.deadline, job.id);
    m_latestStarts.add(job.latestStart, job.id);
    if (needsClaims(job.spec)) {
        requestClaims(job, now);
        return;
    }
    m_queue.update(job);
}

bool Dispatcher::cancel(const std::string &submission, TimePoint now)
{
    auto *job = m_jobs.find(submission);
    if (job == nullptr) {
        return false;
    }
    cancel(*job, now);
    return true;
}

bool Dispatcher::cancel(JobId id, TimePoint now)
{
    auto *job = m_jobs.find(id);
    if (job == nullptr || job->answered) {
        return false;
    }
    cancel(*job, now);
    return true;
}

void Dispatcher::cancel(const std::vector<JobId> &ids, TimePoint now)
{
    for (const auto id : ids) {
        auto *job = m_jobs.find(id);
        if (job != nullptr && !job->answered) {
            failAsCancelled(*job, now);
        }
    }
    shareSlotsAndStartTasks(now);
}

void Dispatcher::onOutcome(const TaskRef &ref, TaskOutcome outcome, TimePoint now)
{
    auto *job = m_jobs.find(ref.job);
    if (job == nullptr || ref.task >= job->tasks.size()) {
        return;
    }
    auto &task = job->tasks[ref.task];
    if (task.state != TaskState::Sent || task.attempt != ref.attempt) {
        return;
    }
    m_slots.release(task.target);
    m_teams.onEnd(job->team);
    m_health.onOutcome(task.target, healthSignalOf(outcome), ref.job, now);
    m_slots.limitTasks(task.target, m_health.taskLimit(task.target, now));
    if (m_sharing != nullptr) {
        m_sharing->onSlotReleased(sharingView(now), task.target);
    }
    --job->sentTasks;
    std::visit(OutcomeVisitor {*this, *job, ref.task, now}, outcome);
    if (auto *remaining = m_jobs.find(ref.job)) {
        removeIfDone(*remaining);
    }
    shareSlotsAndStartTasks(now);
}

void Dispatcher::onTick(TimePoint now)
{
    abandonOverdueJobs(now);
    applyHealth(now);
    shareSlotsAndStartTasks(now);
}

void Dispatcher::beginDrain()
{
    m_draining = true;
}

void Dispatcher::abandonAll(TimePoint now)
{
    for (const auto id : m_jobs.ids()) {
        failJob(*m_jobs.find(id), ResultCode::Draining, ResultCode::StoppedWhileRunning, "this host had to stop", now);
    }
}

bool Dispatcher::isIdle() const
{
    return m_jobs.size() == 0;
}

const SlotTable &Dispatcher::slots() const
{
    return m_slots;
}

const JobQueue &Dispatcher::queue() const
{
    return m_queue;
}

void Dispatcher::abandonOverdueJobs(TimePoint now)
{
    while (const auto id = m_deadlines.popDue(now)) {
        if (auto *job = m_jobs.find(*id)) {
            failJob(*job, ResultCode::DeadlineBeforeStart, ResultCode::DeadlineExceeded, "the deadline passed", now);
        }
    }
    while (const auto id = m_latestStarts.popDue(now)) {
        if (auto *job = m_jobs.find(*id)) {
            abandonIfInfeasible(*job, now);
        }
    }
}

void Dispatcher::abandonIfInfeasible(JobRecord &job, TimePoint now)
{
    if (job.answered || job.queued.empty()) {
        return;
    }
    job.latestStart = latestStart(job, m_slots.zoneSlots());
    if (job.latestStart > now) {
        m_latestStarts.add(job.latestStart, job.id);
        return;
    }
    failJob(job, ResultCode::DeadlineUnreachable, ResultCode::DeadlineExceeded, "the deadline can no longer be met", now);
}

void Dispatcher::applyHealth(TimePoint now)
{
    m_health.onTick(now);
    for (TargetIndex i = 0; i < m_slots.size(); ++i) {
        m_slots.limitTasks(i, m_health.taskLimit(i, now));
    }
}

void Dispatcher::shareSlotsAndStartTasks(TimePoint now)
{
    if (m_sharing != nullptr) {
        m_sharing->lendBeforeStarts(sharingView(now));
    }
    startQueuedTasks(now);
    if (m_sharing != nullptr) {
        m_sharing->redistributeAfterStarts(sharingView(now));
    }
}

SharingView Dispatcher::sharingView(TimePoint now)
{
    const bool mayLend = m_configuration && m_configuration->policy.slotSharing == SlotSharingKind::Loans;
    return {m_slots, m_queue, mayLend, now};
}

void Dispatcher::startQueuedTasks(TimePoint now)
{
    if (m_queue.unstartedTasks() == 0) {
        return;
    }
    auto free = m_slots.freeSlots(now);
    if (free == 0) {
        return;
    }
    m_queue.beginRound(fairShare(now));
    while (const auto id = m_queue.front()) {
        if (!startNextTask(*m_jobs.find(*id), now)) {
            m_queue.blockLaneOf(*id);
        } else if (--free == 0) {
            return;
        }
    }
}

std::uint32_t Dispatcher::fairShare(TimePoint now) const
{
    const auto teams = static_cast<std::uint32_t>(m_queue.teams().size());
    return m_slots.servingSlots(now) / std::max(teams, 1U);
}

bool Dispatcher::startNextTask(JobRecord &job, TimePoint now)
{
    // Claims can have expired if this host was suspended; the deadlines of their jobs have passed as well.
    if (now >= job.startBefore) {
        return false;
    }
    const auto task = job.queued.back();
    const auto target = m_slots.pick(job.spec.tasks[task].size, now);
    if (!target) {
        return false;
    }
    job.queued.pop_back();
    job.queuedWork -= job.tasks[task].runTime.expected;
    startTask(job, task, *target, now);
    m_queue.update(job);
    return true;
}

void Dispatcher::updateTargetMasks(JobRecord &job) const
{
    for (std::size_t i = 0; i < job.tasks.size(); ++i) {
        job.tasks[i].targetMask = m_capacities.maskOf(job.spec.tasks[i].size);
    }
}

void Dispatcher::startTask(JobRecord &job, std::uint32_t task, TargetIndex target, TimePoint now)
{
    const auto &spec = job.spec.tasks[task];
    auto &record = job.tasks[task];
    transition(record, TaskState::Sent);
    ++record.attempt;
    if (record.attempt == 1) {
        m_retryBudget.onFirstStart();
    }
    record.target = target;
    record.sentAt = now;
    ++job.sentTasks;
    job.mayHaveRun = true;
    m_slots.occupy(target);
    m_teams.onStart(job.team);
    m_health.onStart(target, now);
    m_observer.onQueueWait(now - job.arrivedAt);
    m_targets.start(target,
                    {TaskRef {job.id, task, record.attempt},
                     job.spec.submission,
                     spec.id,
                     spec.kind,
                     spec.payload,
                     job.deadline - now + StopGracePeriod,
                     spec.idempotencyKey,
                     job.startBefore});
}

void Dispatcher::transition(TaskRecord &task, TaskState to)
{
    assert(isTransition(task.state, to));
    m_observer.onTransition(task.state, to);
    task.state = to;
}

void Dispatcher::requeue(JobRecord &job, std::uint32_t task, NotStartedReason reason, TimePoint now)
{
    const auto target = job.tasks[task].target;
    if (reason == NotStartedReason::TargetLeaving) {
        m_slots.markReportedLeaving(target, now + LeavingRefusalPeriod);
    } else if (reason == NotStartedReason::NoSlot) {
        m_slots.pauseAfterNoSlot(target, now);
    } else if (reason == NotStartedReason::RefusedByTarget) {
        m_slots.pause(target, now + PauseAfterRefusal);
    }
    if (job.answered) {
        cancelTask(job, task);
        return;
    }
    transition(job.tasks[task], TaskState::Queued);
    job.queued.push_back(task);
    job.queuedWork += job.tasks[task].runTime.expected;
    // If no other task is at a target or finished, all earlier attempts of the job provably did not start.
    job.mayHaveRun = job.sentTasks + job.finishedTasks > 0;
    if (!mayRetry(job, job.tasks[task], reason)) {
        failJob(job,
                ResultCode::RetryBudgetExhausted,
                ResultCode::RetriesExhausted,
                "task '" + job.spec.tasks[task].id + "' was refused by targets too often",
                now);
        return;
    }
    m_observer.onRetry(reason);
    m_queue.update(job);
}

bool Dispatcher::mayRetry(const JobRecord &job, const TaskRecord &task, NotStartedReason reason)
{
    // A full target is not a failure: the task waits in the queue, and the growing pause of the target limits the number of requests.
    if (reason == NotStartedReason::NoSlot) {
        return true;
    }
    return task.attempt < job.configuration->retries.maxAttempts && m_retryBudget.tryConsume();
}

void Dispatcher::finishTask(JobRecord &job, std::uint32_t task, std::string output, TimePoint now)
{
    transition(job.tasks[task], TaskState::Finished);
    m_runTimes.learn(job.spec.tasks[task], now - job.tasks[task].sentAt, now);
    if (m_claimProvider != nullptr) {
        m_claimProvider->recordFinished(job.id, task, output);
    }
    storeOutput(job, task, std::move(output), now);
}

void Dispatcher::storeOutput(JobRecord &job, std::uint32_t task, std::string output, TimePoint now)
{
    job.tasks[task].output = std::move(output);
    ++job.finishedTasks;
    if (job.answered || job.finishedTasks < job.tasks.size()) {
        return;
    }
    JobAnswer complete;
    for (std::size_t i = 0; i < job.tasks.size(); ++i) {
        complete.results.push_back({job.spec.tasks[i].id, std::move(job.tasks[i].output)});
    }
    answerJob(job, std::move(complete), now);
}

void Dispatcher::failJob(JobRecord &job, ResultCode notRun, ResultCode mayHaveRun, const std::string &message, TimePoint now)
{
    if (job.answered) {
        return;
    }
    JobAnswer failed;
    failed.code = job.mayHaveRun ? mayHaveRun : notRun;
    failed.message = message;
    cancelQueuedTasks(job);
    failed.retryAfter = retryAfterWork(m_queue.work(), m_slots.servingSlots(now));
    stopSentTasks(job);
    answerJob(job, std::move(failed), now);
    removeIfDone(job);
}

void Dispatcher::answerJob(JobRecord &job, JobAnswer answer, TimePoint now)
{
    answer.submission = job.spec.submission;
    m_jobs.markAnswered(job);
    m_observer.onAnswer(answer.code, now - job.arrivedAt);
    job.answerHandler(std::move(answer));
}

void Dispatcher::cancelQueuedTasks(JobRecord &job)
{
    for (const auto task : job.queued) {
        cancelTask(job, task);
    }
    job.queued.clear();
    job.queuedWork = Duration::zero();
    m_queue.remove(job.id);
}

void Dispatcher::stopSentTasks(JobRecord &job)
{
    for (std::size_t i = 0; i < job.tasks.size(); ++i) {
        if (job.tasks[i].state == TaskState::Sent) {
            m_targets.stop(job.tasks[i].target, job.spec.submission, job.spec.tasks[i].id);
        }
    }
}

void Dispatcher::removeIfDone(JobRecord &job)
{
    if (!job.answered || job.sentTasks > 0) {
        return;
    }
    m_deadlines.remove(job.deadline, job.id);
    m_latestStarts.remove(job.latestStart, job.id);
    if (m_claimProvider != nullptr) {
        m_claimProvider->closeClaims(job.id);
    }
    m_jobs.remove(job.id);
}

void Dispatcher::cancel(JobRecord &job, TimePoint now)
{
    failAsCancelled(job, now);
    shareSlotsAndStartTasks(now);
}

void Dispatcher::failAsCancelled(JobRecord &job, TimePoint now)
{
    failJob(job, ResultCode::CancelledBeforeStart, ResultCode::CancelledWhileRunning, "the caller cancelled", now);
}

void Dispatcher::answerRefusal(const JobSpec &spec, const AnswerHandler &answer, const Refusal &refusal)
{
    m_observer.onAnswer(refusal.code, Duration::zero());
    JobAnswer refused;
    refused.submission = spec.submission;
    refused.code = refusal.code;
    refused.message = refusal.message;
    refused.retryAfter = refusal.retryAfter;
    answer(std::move(refused));
}
} // namespace Anvilcart
