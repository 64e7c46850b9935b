#include "dispatch/dispatcher.h"

#include "dispatch/keyrules.h"

#include <algorithm>
#include <cassert>

namespace Anvilcart
{
namespace
{
constexpr Milliseconds RetryWhenNotReady {500};
constexpr Seconds OwnLeavingWord {60};
constexpr Milliseconds PauseAfterRefusal {500};
/// How long after the deadline a stopped task may take to report before its connection is cut.
constexpr Milliseconds StopGrace {2000};
} // namespace

/// Applies one outcome to the task that it belongs to.
struct OutcomeVisitor
{
    Dispatcher &dispatcher;
    JobRecord &job;
    std::uint32_t task;
    TimePoint now;

    void operator()(TaskFinished &finished) const
    {
        dispatcher.finish(job, task, std::move(finished.output), now);
    }

    void operator()(const TaskRanAndFailed &failed) const
    {
        dispatcher.move(job.tasks[task], TaskState::Finished);
        if (dispatcher.m_claims != nullptr) {
            dispatcher.m_claims->recordFailed(job.id, task, failed.message);
        }
        dispatcher.fail(
            job, ResultCode::TaskFailed, ResultCode::TaskFailed, "task '" + job.spec.tasks[task].id + "' failed: " + failed.message, now);
    }

    void operator()(const TaskStopped &) const
    {
        dispatcher.move(job.tasks[task], TaskState::Cancelled);
        dispatcher.fail(
            job, ResultCode::TaskFailed, ResultCode::TaskFailed, "task '" + job.spec.tasks[task].id + "' was stopped at the target", now);
    }

    void operator()(const TaskNotStarted &notStarted) const
    {
        dispatcher.requeue(job, task, notStarted.reason, now);
    }

    void operator()(const TaskLost &lost) const
    {
        dispatcher.move(job.tasks[task], TaskState::Unknown);
        dispatcher.fail(job,
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
        placeTasks(job);
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
        pump(now);
    }
}

void Dispatcher::shareSlots(SlotSharing &sharing)
{
    m_sharing = &sharing;
}

void Dispatcher::changeSlots(const std::function<void(const SharingView &)> &change, TimePoint now)
{
    change(sharingView(now));
    pump(now);
}

void Dispatcher::applyLeavingTargets(const std::unordered_set<std::string> &names)
{
    m_slots.applyLeaving(names);
}

std::optional<JobId> Dispatcher::submit(JobSpec spec, AnswerHandler answer, TimePoint now)
{
    if (!m_configuration) {
        refuseNow(spec, answer, {ResultCode::NotReady, "no configuration is known yet", RetryWhenNotReady});
        return std::nullopt;
    }
    if (m_jobs.contains(spec.submission)) {
        refuseNow(spec, answer, {ResultCode::DuplicateSubmission, "submission '" + spec.submission + "' is in progress", Milliseconds(0)});
        return std::nullopt;
    }
    const auto expected = forecast(spec, m_runTimes, now);
    if (const auto refusal = refuse(spec, *m_configuration, m_slots, loadView(spec, expected, now))) {
        refuseNow(spec, answer, *refusal);
        return std::nullopt;
    }
    auto &job = m_jobs.add(std::move(spec), std::move(answer), now);
    const auto id = job.id;
    admit(job, expected, now);
    pump(now);
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
    job.deadline = now + deadlineOf(job.spec, m_configuration->limits);
    job.team = *m_teams.find(job.spec.team);
    applyForecast(job, forecast);
    placeTasks(job);
    job.latestStart = latestStart(job, m_slots.zoneSlots());
    m_deadlines.add(job.deadline, job.id);
    m_latestStarts.add(job.latestStart, job.id);
    if (needsClaims(job.spec)) {
        beginClaims(job, now);
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
            failCancelled(*job, now);
        }
    }
    pump(now);
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
    m_health.onOutcome(task.target, healthSignOf(outcome), ref.job, now);
    m_slots.limitTasks(task.target, m_health.taskLimit(task.target, now));
    if (m_sharing != nullptr) {
        m_sharing->onSlotReleased(sharingView(now), task.target);
    }
    --job->sent;
    std::visit(OutcomeVisitor {*this, *job, ref.task, now}, outcome);
    if (auto *remaining = m_jobs.find(ref.job)) {
        removeIfDone(*remaining);
    }
    pump(now);
}

void Dispatcher::onTick(TimePoint now)
{
    giveUpLateJobs(now);
    applyHealth(now);
    pump(now);
}

void Dispatcher::beginDrain()
{
    m_draining = true;
}

void Dispatcher::abandonAll(TimePoint now)
{
    for (const auto id : m_jobs.ids()) {
        fail(*m_jobs.find(id), ResultCode::Draining, ResultCode::StoppedWhileRunning, "this host had to stop", now);
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

void Dispatcher::giveUpLateJobs(TimePoint now)
{
    while (const auto id = m_deadlines.takeDue(now)) {
        if (auto *job = m_jobs.find(*id)) {
            fail(*job, ResultCode::DeadlineBeforeStart, ResultCode::DeadlineExceeded, "the deadline passed", now);
        }
    }
    while (const auto id = m_latestStarts.takeDue(now)) {
        if (auto *job = m_jobs.find(*id)) {
            giveUpIfUnreachable(*job, now);
        }
    }
}

void Dispatcher::giveUpIfUnreachable(JobRecord &job, TimePoint now)
{
    if (job.answered || job.queued.empty()) {
        return;
    }
    job.latestStart = latestStart(job, m_slots.zoneSlots());
    if (job.latestStart > now) {
        m_latestStarts.add(job.latestStart, job.id);
        return;
    }
    fail(job, ResultCode::DeadlineUnreachable, ResultCode::DeadlineExceeded, "the deadline can no longer be met", now);
}

void Dispatcher::applyHealth(TimePoint now)
{
    m_health.onTick(now);
    for (TargetIndex i = 0; i < m_slots.size(); ++i) {
        m_slots.limitTasks(i, m_health.taskLimit(i, now));
    }
}

void Dispatcher::pump(TimePoint now)
{
    if (m_sharing != nullptr) {
        m_sharing->lendBeforeStarts(sharingView(now));
    }
    startQueuedJobs(now);
    if (m_sharing != nullptr) {
        m_sharing->settleAfterStarts(sharingView(now));
    }
}

SharingView Dispatcher::sharingView(TimePoint now)
{
    const bool mayLend = m_configuration && m_configuration->policy.slotSharing == SlotSharingKind::Loans;
    return {m_slots, m_queue, mayLend, now};
}

void Dispatcher::startQueuedJobs(TimePoint now)
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
            m_queue.block(*id);
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
    // A host that was paused may hold claims that have expired; its jobs are past their deadline.
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

void Dispatcher::placeTasks(JobRecord &job) const
{
    for (std::size_t i = 0; i < job.tasks.size(); ++i) {
        job.tasks[i].targets = m_capacities.maskOf(job.spec.tasks[i].size);
    }
}

void Dispatcher::startTask(JobRecord &job, std::uint32_t task, TargetIndex target, TimePoint now)
{
    const auto &spec = job.spec.tasks[task];
    auto &record = job.tasks[task];
    move(record, TaskState::Sent);
    ++record.attempt;
    if (record.attempt == 1) {
        m_retryBudget.onFirstStart();
    }
    record.target = target;
    record.sentAt = now;
    ++job.sent;
    job.mayHaveRun = true;
    m_slots.take(target);
    m_teams.onStart(job.team);
    m_health.onStart(target, now);
    m_observer.onQueueWait(now - job.arrivedAt);
    m_targets.start(target,
                    {TaskRef {job.id, task, record.attempt},
                     job.spec.submission,
                     spec.id,
                     spec.kind,
                     spec.payload,
                     job.deadline - now + StopGrace,
                     spec.idempotencyKey,
                     job.startBefore});
}

void Dispatcher::move(TaskRecord &task, TaskState to)
{
    assert(isEdge(task.state, to));
    m_observer.onTransition(task.state, to);
    task.state = to;
}

void Dispatcher::requeue(JobRecord &job, std::uint32_t task, NotStartedReason reason, TimePoint now)
{
    const auto target = job.tasks[task].target;
    if (reason == NotStartedReason::TargetLeaving) {
        m_slots.markLeaving(target, now + OwnLeavingWord);
    } else if (reason == NotStartedReason::NoSlot) {
        m_slots.pauseFull(target, now);
    } else if (reason == NotStartedReason::RefusedByTarget) {
        m_slots.pause(target, now + PauseAfterRefusal);
    }
    if (job.answered) {
        giveUp(job, task);
        return;
    }
    move(job.tasks[task], TaskState::Queued);
    job.queued.push_back(task);
    job.queuedWork += job.tasks[task].runTime.expected;
    // Without another task at a target or finished, every earlier attempt of the job was proved not to have started.
    job.mayHaveRun = job.sent + job.finished > 0;
    if (!mayRetry(job, job.tasks[task], reason)) {
        fail(job,
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
    // A full target is no fault: the task waits in the queue like any other, and the target's growing pause bounds the messages.
    if (reason == NotStartedReason::NoSlot) {
        return true;
    }
    return task.attempt < job.configuration->retries.maxAttempts && m_retryBudget.take();
}

void Dispatcher::finish(JobRecord &job, std::uint32_t task, std::string output, TimePoint now)
{
    move(job.tasks[task], TaskState::Finished);
    m_runTimes.learn(job.spec.tasks[task], now - job.tasks[task].sentAt, now);
    if (m_claims != nullptr) {
        m_claims->recordFinished(job.id, task, output);
    }
    complete(job, task, std::move(output), now);
}

void Dispatcher::complete(JobRecord &job, std::uint32_t task, std::string output, TimePoint now)
{
    job.tasks[task].output = std::move(output);
    ++job.finished;
    if (job.answered || job.finished < job.tasks.size()) {
        return;
    }
    JobAnswer whole;
    for (std::size_t i = 0; i < job.tasks.size(); ++i) {
        whole.results.push_back({job.spec.tasks[i].id, std::move(job.tasks[i].output)});
    }
    answer(job, std::move(whole), now);
}

void Dispatcher::fail(JobRecord &job, ResultCode notRun, ResultCode mayHaveRun, const std::string &message, TimePoint now)
{
    if (job.answered) {
        return;
    }
    JobAnswer failed;
    failed.code = job.mayHaveRun ? mayHaveRun : notRun;
    failed.message = message;
    cancelQueuedTasks(job);
    failed.retryAfter = drainTime(m_queue.work(), m_slots.servingSlots(now));
    stopSentTasks(job);
    answer(job, std::move(failed), now);
    removeIfDone(job);
}

void Dispatcher::answer(JobRecord &job, JobAnswer answer, TimePoint now)
{
    answer.submission = job.spec.submission;
    m_jobs.markAnswered(job);
    m_observer.onAnswer(answer.code, now - job.arrivedAt);
    job.answer(std::move(answer));
}

void Dispatcher::cancelQueuedTasks(JobRecord &job)
{
    for (const auto task : job.queued) {
        giveUp(job, task);
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
    if (!job.answered || job.sent > 0) {
        return;
    }
    m_deadlines.remove(job.deadline, job.id);
    m_latestStarts.remove(job.latestStart, job.id);
    if (m_claims != nullptr) {
        m_claims->forget(job.id);
    }
    m_jobs.remove(job.id);
}

void Dispatcher::cancel(JobRecord &job, TimePoint now)
{
    failCancelled(job, now);
    pump(now);
}

void Dispatcher::failCancelled(JobRecord &job, TimePoint now)
{
    fail(job, ResultCode::CancelledBeforeStart, ResultCode::CancelledWhileRunning, "the caller cancelled", now);
}

void Dispatcher::refuseNow(const JobSpec &spec, const AnswerHandler &answer, const Refusal &refusal)
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
