#include "dispatch/dispatcher.h"

#include <algorithm>
#include <cassert>

namespace Anvilcart
{
namespace
{
constexpr Milliseconds RetryAfterFailure {500};
constexpr Milliseconds PauseAfterNoSlot {5};
constexpr Seconds OwnLeavingWord {60};
constexpr Milliseconds PauseAfterConnectFailure {500};
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
{
}

void Dispatcher::applyConfiguration(std::shared_ptr<const Configuration> configuration, TimePoint now)
{
    m_configuration = std::move(configuration);
    m_queue.setOrder(makeQueueOrder(m_configuration->policy.queueOrder));
    for (const auto index : m_slots.applyTargets(m_configuration->targets, m_identity.zone)) {
        m_targets.configure(index, m_slots.at(index).spec);
    }
    for (const auto id : m_queue.inOrder()) {
        m_queue.update(*m_jobs.find(id));
    }
    applyMembers(m_members, now);
}

void Dispatcher::applyMembers(std::vector<std::string> members, TimePoint now)
{
    m_members = std::move(members);
    if (m_configuration) {
        m_slots.applyMembers(m_members, m_identity.host, m_configuration->policy.slotSharing);
        pump(now);
    }
}

void Dispatcher::applyLeavingTargets(const std::unordered_set<std::string> &names)
{
    m_slots.applyLeaving(names);
}

std::optional<JobId> Dispatcher::submit(JobSpec spec, AnswerHandler answer, TimePoint now)
{
    if (!m_configuration) {
        refuseNow(spec, answer, {ResultCode::NotReady, "no configuration is known yet", RetryAfterFailure});
        return std::nullopt;
    }
    if (m_jobs.contains(spec.submission)) {
        refuseNow(spec, answer, {ResultCode::DuplicateSubmission, "submission '" + spec.submission + "' is in progress", Milliseconds(0)});
        return std::nullopt;
    }
    const LoadView load {m_queue.unstartedTasks(), m_draining};
    if (const auto refusal = refuse(spec, *m_configuration, m_slots, load)) {
        refuseNow(spec, answer, *refusal);
        return std::nullopt;
    }
    auto deadline = spec.deadline.count() > 0 ? spec.deadline : m_configuration->limits.defaultDeadline;
    deadline = std::min(deadline, m_configuration->limits.maxDeadline);
    auto &job = m_jobs.add(std::move(spec), std::move(answer), now);
    job.configuration = m_configuration;
    job.deadline = now + deadline;
    m_deadlines.emplace(job.deadline, job.id);
    m_queue.update(job);
    const auto id = job.id;
    pump(now);
    return id;
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
    --job->sent;
    std::visit(OutcomeVisitor {*this, *job, ref.task, now}, outcome);
    if (auto *remaining = m_jobs.find(ref.job)) {
        removeIfDone(*remaining);
    }
    pump(now);
}

void Dispatcher::onTick(TimePoint now)
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        const auto id = m_deadlines.begin()->second;
        m_deadlines.erase(m_deadlines.begin());
        if (auto *job = m_jobs.find(id)) {
            fail(*job, ResultCode::DeadlineBeforeStart, ResultCode::DeadlineExceeded, "the deadline passed", now);
        }
    }
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

void Dispatcher::pump(TimePoint now)
{
    if (m_queue.unstartedTasks() == 0 || m_slots.freeSlots(now) == 0) {
        return;
    }
    for (const auto id : m_queue.inOrder()) {
        startQueuedTasks(*m_jobs.find(id), now);
        if (m_slots.freeSlots(now) == 0) {
            return;
        }
    }
}

void Dispatcher::startQueuedTasks(JobRecord &job, TimePoint now)
{
    while (!job.queued.empty()) {
        const auto task = job.queued.back();
        const auto target = m_slots.pick(job.spec.tasks[task].size, now);
        if (!target) {
            break;
        }
        job.queued.pop_back();
        startTask(job, task, *target, now);
    }
    m_queue.update(job);
}

void Dispatcher::startTask(JobRecord &job, std::uint32_t task, TargetIndex target, TimePoint now)
{
    const auto &spec = job.spec.tasks[task];
    auto &record = job.tasks[task];
    move(record, TaskState::Sent);
    ++record.attempt;
    record.target = target;
    record.sentAt = now;
    ++job.sent;
    job.mayHaveRun = true;
    m_slots.take(target);
    m_observer.onQueueWait(now - job.arrivedAt);
    m_targets.start(
        target,
        {TaskRef {job.id, task, record.attempt}, job.spec.submission, spec.id, spec.kind, spec.payload, job.deadline - now + StopGrace});
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
    } else {
        m_slots.pause(target, now + (reason == NotStartedReason::NoSlot ? PauseAfterNoSlot : PauseAfterConnectFailure));
    }
    if (job.answered) {
        move(job.tasks[task], TaskState::Cancelled);
        return;
    }
    move(job.tasks[task], TaskState::Queued);
    m_observer.onRetry(reason);
    job.queued.push_back(task);
    // Every earlier attempt of the job was proved not to have started: nothing of it has run.
    const bool anyRan = std::any_of(job.tasks.begin(), job.tasks.end(), [](const TaskRecord &record) {
        return record.state != TaskState::Queued;
    });
    job.mayHaveRun = anyRan;
    m_queue.update(job);
}

void Dispatcher::finish(JobRecord &job, std::uint32_t task, std::string output, TimePoint now)
{
    move(job.tasks[task], TaskState::Finished);
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
    failed.retryAfter = RetryAfterFailure;
    cancelQueuedTasks(job);
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
        move(job.tasks[task], TaskState::Cancelled);
    }
    job.queued.clear();
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
    const auto [first, last] = m_deadlines.equal_range(job.deadline);
    for (auto entry = first; entry != last; ++entry) {
        if (entry->second == job.id) {
            m_deadlines.erase(entry);
            break;
        }
    }
    m_jobs.remove(job.id);
}

void Dispatcher::cancel(JobRecord &job, TimePoint now)
{
    fail(job, ResultCode::CancelledBeforeStart, ResultCode::CancelledWhileRunning, "the caller cancelled", now);
    pump(now);
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
