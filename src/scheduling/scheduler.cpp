#include "scheduling/scheduler.h"

#include "scheduling/placementchoice.h"

#include <algorithm>
#include <utility>

// Jobs: from their order to their end. The queue is in schedulerqueue.cpp, targets and runs in schedulertargets.cpp.
namespace Anvilcart::Fleet
{
namespace
{
/// A job that was passed on so often stays where it is.
constexpr std::uint32_t MaxTransfers = 2;
/// Forecasts err by a third or so; a job is called hopeless when it misses the caller's limit even if it takes that much less.
constexpr double Optimism = 0.8;
/// A job whose caller waits less than so many times its expected time has no time to wait in the queue.
constexpr std::int64_t UrgentShare = 2;
/// Such a job goes before those that the whole service would start in this time; its route still pays for its work.
constexpr double UrgentLeadMs = 60;
/// A peer is preferred only when it is expected to start the job at least so much sooner: a hop, and the age of what peers tell.
constexpr Milliseconds TransferGain {50};
} // namespace

Scheduler::Scheduler(const SchedulerLimits &limits, SchedulerPort &port, SchedulerObserver &observer)
    : m_limits(limits)
    , m_port(port)
    , m_observer(observer)
{
}

Scheduler::~Scheduler() = default;

void Scheduler::submit(JobOrder order, TimePoint now)
{
    if (auto *present = findJob(order.request.id)) {
        if (present->ending) {
            present->successor = std::move(order);
            return;
        }
        present->order.entryHost = order.entryHost;
        present->order.answerBy = order.answerBy;
        present->cancelled = false;
        return;
    }
    auto owned = std::make_unique<ScheduledJob>(std::move(order));
    auto &job = *owned;
    const auto id = job.order.request.id;
    m_jobs[id] = std::move(owned);
    plan(job);
    adoptRuns(job, now);
    if (job.count(TaskPhase::Assigned) > 0) {
        enqueue(job, now);
        schedule(job.order.service, now);
        return;
    }
    auto &service = m_services[job.order.service];
    const auto wait = forecastWait(service, job, now);
    if (wait > Duration(0)) {
        if (const auto better = betterDispatcher(job, now); !better.empty()) {
            endJob(id, {JobEnd::NotRun, JobEndReason::BetterElsewhere, Seconds(1), better}, now);
            return;
        }
    }
    if (service.targets.empty()) {
        endJob(id, {JobEnd::NotRun, JobEndReason::NoTargets, Seconds(1), {}}, now);
        return;
    }
    if (!fitsAnywhere(job.order)) {
        endJob(id, {JobEnd::NotRun, JobEndReason::NeverFits, Seconds(1), {}}, now);
        return;
    }
    if (service.queue.size() >= m_limits.maxQueuedJobs) {
        endJob(id, {JobEnd::NotRun, JobEndReason::QueueFull, retryAfter(service, id, now), {}}, now);
        return;
    }
    const auto needed = shortestTime(job, now);
    if (m_limits.refuseHopeless && now + wait + needed > job.order.answerBy) {
        endJob(id, {JobEnd::NotRun, JobEndReason::Overload, retryAfter(service, id, now), {}}, now);
        return;
    }
    m_observer.onJobQueued(job.order, service.queue.size(), wait);
    enqueue(job, now);
    schedule(job.order.service, now);
}

/// The dispatcher that is expected to start the job sooner; empty when it had better stay.
std::string Scheduler::betterDispatcher(const ScheduledJob &job, TimePoint now)
{
    if (job.order.transfers >= MaxTransfers) {
        return {};
    }
    const auto &service = m_services[job.order.service];
    const auto tasks = static_cast<std::uint32_t>(job.waitingTasks);
    const bool noneHere = service.targets.empty();
    const auto ownWait = noneHere ? Duration::max() : forecastWait(service, job, now);
    const PeerDispatcher *best = nullptr;
    ServiceLoad *bestLoad = nullptr;
    for (auto &peer : m_peers) {
        for (auto &load : peer.loads) {
            if (load.service != job.order.service) {
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
    const bool worthIt = best != nullptr && (noneHere || bestLoad->freeTasks >= tasks || bestLoad->wait + TransferGain < ownWait);
    if (!worthIt) {
        return {};
    }
    bestLoad->freeTasks -= std::min(bestLoad->freeTasks, tasks);
    if (bestLoad->freeTasks == 0) {
        bestLoad->wait += TransferGain;
    }
    return best->host;
}

bool Scheduler::fitsAnywhere(const JobOrder &order) const
{
    const auto &targets = m_services.at(order.service).targets;
    return std::all_of(order.request.steps.begin(), order.request.steps.end(), [&](const StepRequest &step) {
        return std::any_of(targets.begin(), targets.end(), [&](const TargetLedger *target) {
            return couldEverHold(target->entry(), step.demand, step.requiredLabel);
        });
    });
}

/// Takes over runs that another dispatcher started before its targets came here.
void Scheduler::adoptRuns(ScheduledJob &job, TimePoint)
{
    for (auto *target : m_services[job.order.service].targets) {
        for (auto &[name, run] : target->runs()) {
            auto *task = name.task.jobId == job.order.request.id ? job.find(name.task) : nullptr;
            if (task == nullptr || run.stopWanted || task->phase == TaskPhase::Assigned) {
                continue;
            }
            task->phase = TaskPhase::Assigned;
            task->target = target->entry().id;
            task->lastRun = name.run;
            job.started = true;
            const auto &step = job.order.request.steps[task->step];
            run.estimate = step.estimate;
            run.expected = job.expected[task->step];
        }
        const auto runs = target->runs();
        for (const auto &[name, run] : runs) {
            if (name.task.jobId == job.order.request.id && run.demand == Resources() && job.find(name.task) != nullptr) {
                target->identifyRun(name, job.order.request.steps[name.task.step].demand);
            }
        }
    }
}

/// Sets the expected chain of work and the objective.
void Scheduler::plan(ScheduledJob &job)
{
    const auto &steps = job.order.request.steps;
    std::vector<Duration> endOfStep;
    for (const auto &step : steps) {
        Duration begin {0};
        for (const auto earlier : step.dependsOn) {
            begin = std::max(begin, endOfStep[earlier]);
        }
        job.expected.push_back(m_runTimes.expect(job.order.route, step.estimate));
        const auto longest = job.expected.back() * m_runTimes.longestOf(job.order.route, step.taskCount);
        endOfStep.push_back(begin + std::chrono::duration_cast<Duration>(longest));
        job.chain = std::max(job.chain, endOfStep.back());
    }
    const auto stretched = std::chrono::duration_cast<Duration>(job.chain * job.order.stretchFactor);
    job.objectiveAt = job.order.arrivedAt + stretched + job.order.targetLatency;
    job.recount();
    tagInTurn(job);
    if (job.order.answerBy - job.order.arrivedAt < job.chain * UrgentShare) {
        double cores = 0;
        for (const auto *target : m_services[job.order.service].targets) {
            cores += static_cast<double>(target->entry().capacity.milliCores) / 1000.0;
        }
        job.fairLead = cores * UrgentLeadMs;
    }
}

/// The least time that the job may take once all its tasks start.
Duration Scheduler::shortestTime(const ScheduledJob &job, TimePoint now) const
{
    double slowness = 0;
    const auto &step = job.order.request.steps.front();
    for (const auto *target : m_services.at(job.order.service).targets) {
        const bool usable = !target->leaving && !target->silent && !target->health.isEjected(now);
        if (usable && couldEverHold(target->entry(), step.demand, step.requiredLabel)) {
            const auto pace = target->health.slowness(now);
            slowness = slowness == 0 ? pace : std::min(slowness, pace);
        }
    }
    return std::chrono::duration_cast<Duration>(job.chain * (slowness == 0 ? 1.0 : slowness) * Optimism);
}

void Scheduler::cancel(const std::string &jobId, const std::string &entryHost, TimePoint now)
{
    auto *job = findJob(jobId);
    if (job == nullptr) {
        return;
    }
    if (job->successor && job->successor->entryHost == entryHost) {
        job->successor.reset();
        return;
    }
    if (job->order.entryHost != entryHost) {
        return;
    }
    job->cancelled = true;
    beginEnding(*job, {JobEnd::Abandoned, JobEndReason::Cancelled, Duration(0), {}}, now);
}

void Scheduler::cancelAllOf(const std::string &entryHost, TimePoint now)
{
    std::vector<std::string> ids;
    for (const auto &[id, job] : m_jobs) {
        const bool successorToo = job->successor && job->successor->entryHost == entryHost;
        if (job->order.entryHost == entryHost || successorToo) {
            ids.push_back(id);
        }
    }
    for (const auto &id : ids) {
        cancel(id, entryHost, now);
        cancel(id, entryHost, now);
    }
}

/// The job gets no new start; it ends with result when its last run is over.
void Scheduler::beginEnding(ScheduledJob &job, const JobResult &result, TimePoint now)
{
    if (job.ending) {
        return;
    }
    dequeue(job);
    job.ending = result;
    for (auto &task : job.tasks) {
        if (task.phase != TaskPhase::Assigned) {
            continue;
        }
        const auto target = m_targets.find(task.target);
        if (target == m_targets.end()) {
            continue;
        }
        const TaskName name {job.order.request.id, 0, task.step, task.index};
        if (auto *run = target->second->find({name, task.lastRun})) {
            stop(*target->second, *run, toName(result.reason), now);
        }
    }
    finishIfOver(job.order.request.id, now);
}

void Scheduler::finishIfOver(const std::string &jobId, TimePoint now)
{
    auto *job = findJob(jobId);
    if (job != nullptr && job->ending && !hasRuns(jobId)) {
        endJob(jobId, *job->ending, now);
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
    dequeue(*job);
    if (!job->cancelled) {
        auto told = result;
        const bool refused = result.end == JobEnd::NotRun && result.reason != JobEndReason::BetterElsewhere;
        if (refused && mayHaveRunBefore(*job)) {
            told.end = JobEnd::Abandoned;
        }
        m_port.onJobEnd(job->order, told);
    }
    if (job->successor) {
        submit(std::move(*job->successor), now);
    }
}

/// True when the job was sent again and an earlier submission of it had a run, or may have had one on a target that is being taken over.
bool Scheduler::mayHaveRunBefore(const ScheduledJob &job) const
{
    const auto &targets = m_services.at(job.order.service).targets;
    return m_ranLately.contains(job.order.request.id) || std::any_of(targets.begin(), targets.end(), [](const TargetLedger *target) {
               return target->ownership == Ownership::Claiming && target->failedProbes == 0;
           });
}

bool Scheduler::hasRuns(const std::string &jobId) const
{
    const auto found = m_jobs.find(jobId);
    return found != m_jobs.end() && found->second->count(TaskPhase::Assigned) > 0;
}

ScheduledJob *Scheduler::findJob(const std::string &jobId)
{
    const auto found = m_jobs.find(jobId);
    return found == m_jobs.end() ? nullptr : found->second.get();
}

void Scheduler::setPeers(std::vector<PeerDispatcher> peers)
{
    m_peers = std::move(peers);
}

void Scheduler::redirectWaitingJobs(const std::string &dispatcher, TimePoint now)
{
    for (const auto &id : untouchedJobs()) {
        endJob(id, {JobEnd::NotRun, JobEndReason::BetterElsewhere, Seconds(1), dispatcher}, now);
    }
}

void Scheduler::refuseWaitingJobs(JobEndReason reason, TimePoint now)
{
    for (const auto &id : untouchedJobs()) {
        endJob(id, {JobEnd::NotRun, reason, Seconds(1), {}}, now);
    }
}

/// Jobs of which no task has started.
std::vector<std::string> Scheduler::untouchedJobs() const
{
    std::vector<std::string> ids;
    for (const auto &[id, job] : m_jobs) {
        if (!job->hasStarted() && !job->ending) {
            ids.push_back(id);
        }
    }
    return ids;
}

void Scheduler::onTimeGap(TimePoint now)
{
    std::vector<ScheduledJob *> jobs;
    for (const auto &[id, job] : m_jobs) {
        jobs.push_back(job.get());
    }
    for (auto *job : jobs) {
        const bool untouched = !job->hasStarted();
        const auto end = untouched ? JobEnd::NotRun : JobEnd::Abandoned;
        beginEnding(*job, {end, JobEndReason::TargetsLost, Seconds(1), {}}, now);
    }
}

void Scheduler::onTakeoverComplete(const std::string &lostDispatcher, TimePoint now)
{
    bool released = false;
    for (const auto &[id, job] : m_jobs) {
        if (job->order.lostDispatcher == lostDispatcher && job->order.earlierRunsOverAt > now) {
            job->order.earlierRunsOverAt = now;
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

void Scheduler::endHopeless(TimePoint now)
{
    std::vector<std::pair<std::string, bool>> over;
    const auto overdueWaits = waitsOfOverdueJobs(now);
    for (const auto &[id, job] : m_jobs) {
        if (job->ending) {
            continue;
        }
        const auto needed = job->hasStarted() ? Duration(0) : shortestTime(*job, now);
        // An overdue job waits behind all others, and they may take until its caller leaves.
        const auto overdue = overdueWaits.find(id);
        const auto wait = overdue == overdueWaits.end() ? Duration(0) : overdue->second;
        if (now + wait + needed > job->order.answerBy) {
            over.emplace_back(id, job->hasStarted());
        }
    }
    for (const auto &[id, started] : over) {
        auto &job = *m_jobs.at(id);
        auto &service = m_services[job.order.service];
        if (started) {
            beginEnding(job, {JobEnd::Abandoned, JobEndReason::WaitedTooLong, Duration(0), {}}, now);
        } else {
            endJob(id, {JobEnd::NotRun, JobEndReason::WaitedTooLong, retryAfter(service, id, now), {}}, now);
        }
    }
}

std::size_t Scheduler::jobCount() const
{
    return m_jobs.size();
}
} // namespace Anvilcart::Fleet
