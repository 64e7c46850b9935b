#include "scheduling/placementchoice.h"
#include "scheduling/scheduler.h"

#include <algorithm>
#include <functional>

// The queue: order, forecast, starts.
namespace Anvilcart::Fleet
{
namespace
{
/// A start takes effect within this time or not at all; longer than a renewal waits, so that a run is renewed before its first lease ends.
constexpr Milliseconds StartLease {450};
/// Late jobs share the room like a route of their own whose jobs take so many times as long.
constexpr double LateWorkFactor = 8;
const std::string LateRoute = "late";
/// An answer after so many objectives is of no use to callers, by the users' rules.
constexpr int OverdueObjectives = 3;
/// Above the tag of every job that is not overdue: some centuries of processor time of a large service.
constexpr double OverdueTag = 1e15;
/// A job counts as late when it would be if its run took that share longer than expected, but may wait for half of its slack: a
/// tight objective makes no job late on arrival.
constexpr double RunTimeMargin = 0.3;
/// At most one target in so many is kept for tasks that found no room.
constexpr std::size_t KeptShare = 4;
/// Weight of a new job in the usual size of a task.
constexpr double UsualWeight = 0.05;
/// Assumed size of a task while none has come: one core.
constexpr double UnknownMilliCores = 1000;
/// Callers are asked to return within at most so many seconds.
constexpr double LongestRetryAfterS = 10;
/// Callers' returns are spread over this many seconds.
constexpr std::size_t RetrySpreadS = 3;

bool isUsable(const TargetLedger &target, TimePoint now)
{
    return target.ownership == Ownership::Owned && !target.leaving && !target.silent && !target.health.isEjected(now);
}

/// Tasks of this many thousandths of a core that fit into room.
std::uint32_t tasksIn(const Resources &room, double milliCores)
{
    return static_cast<std::uint32_t>(std::max(0.0, static_cast<double>(room.milliCores) / std::max(1.0, milliCores)));
}

/// The most thousandths of a core that are free on one target.
std::int64_t largestRoom(const std::vector<TargetLedger *> &targets)
{
    std::int64_t largest = 0;
    for (const auto *target : targets) {
        largest = std::max(largest, target->hasUnidentifiedRuns() ? 0 : target->freeRoom().milliCores);
    }
    return largest;
}

Duration fromMs(double milliseconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(milliseconds));
}
} // namespace

void Scheduler::enqueue(ScheduledJob &job, TimePoint)
{
    dequeue(job);
    job.recount();
    if (job.ending || job.waitingTasks == 0) {
        for (auto *target : m_services[job.order.service].targets) {
            if (target->keptForJob == job.order.request.id) {
                target->keptForJob.clear();
            }
        }
        return;
    }
    job.rank = rankOf(m_limits.policy, factsOf(job));
    auto &service = m_services[job.order.service];
    service.queue.insert({job.rank, job.order.request.id});
    const auto demand = static_cast<double>(job.order.request.steps.front().demand.milliCores);
    service.usualMilliCores =
        service.usualMilliCores == 0 ? demand : service.usualMilliCores + UsualWeight * (demand - service.usualMilliCores);
}

QueuedJobFacts Scheduler::factsOf(const ScheduledJob &job) const
{
    QueuedJobFacts facts;
    facts.arrivedAt = job.order.arrivedAt;
    facts.objectiveAt = job.objectiveAt;
    facts.fairTag = job.fairTag - job.fairLead;
    facts.remainingCoreMs = job.remainingCoreMs;
    facts.chain = job.chain;
    return facts;
}

/// What an answer would be worth if the job started now.
Timeliness Scheduler::timelinessOf(const ScheduledJob &job, TimePoint now) const
{
    const auto objective = job.objectiveAt - job.order.arrivedAt;
    const auto slack = std::max(Duration(0), objective - job.chain);
    const auto margin = std::min(std::chrono::duration_cast<Duration>(job.chain * RunTimeMargin), slack / 2);
    const auto waited = now - job.order.arrivedAt;
    if (waited <= slack - margin) {
        return Timeliness::InTime;
    }
    return waited + job.chain + margin <= objective * OverdueObjectives ? Timeliness::Late : Timeliness::Overdue;
}

/// Waiting jobs whose objective is out of reach by now leave most of the room to those that can still meet theirs, and overdue ones all
/// of it. Answers a burst: were they served in turn, all would be late.
void Scheduler::demoteLateJobs(TimePoint now)
{
    std::set<std::string> changed;
    for (auto &[id, job] : m_jobs) {
        if (job->hasStarted() || job->ending) {
            continue;
        }
        const auto timeliness = timelinessOf(*job, now);
        if (timeliness == job->timeliness) {
            continue;
        }
        job->timeliness = timeliness;
        changed.insert(job->order.service);
    }
    for (const auto &service : changed) {
        tagAnew(service, now);
    }
}

/// Whose share of the room pays for the job: late jobs share one.
const std::string &Scheduler::fairRouteOf(const ScheduledJob &job) const
{
    return job.timeliness == Timeliness::InTime ? job.order.route : LateRoute;
}

/// Gives the job the next turn of its route.
void Scheduler::tagInTurn(ScheduledJob &job)
{
    if (job.timeliness == Timeliness::Overdue) {
        job.fairTag = OverdueTag + toMilliseconds(job.order.arrivedAt.time_since_epoch());
        return;
    }
    job.fairWork = std::max(1.0, job.remainingCoreMs * (job.timeliness == Timeliness::Late ? LateWorkFactor : 1));
    job.fairTag = m_services[job.order.service].fairClock.tagFor(fairRouteOf(job), job.order.priority, job.fairWork);
}

/// Gives every waiting job its turn anew, in the present order: those that left their route are not charged to it.
void Scheduler::tagAnew(const std::string &serviceName, TimePoint now)
{
    auto &service = m_services[serviceName];
    std::vector<ScheduledJob *> jobs;
    for (const auto &[rank, id] : service.queue) {
        jobs.push_back(findJob(id));
    }
    std::set<std::string> routes {LateRoute};
    for (const auto *job : jobs) {
        routes.insert(job->order.route);
    }
    for (const auto &route : routes) {
        service.fairClock.forgetWaiting(route);
    }
    for (auto *job : jobs) {
        if (!job->hasStarted()) {
            tagInTurn(*job);
            enqueue(*job, now);
        }
    }
}

void Scheduler::dequeue(ScheduledJob &job)
{
    m_services[job.order.service].queue.erase({job.rank, job.order.request.id});
}

Duration Scheduler::forecastWait(const Service &service, const ScheduledJob &job, TimePoint now) const
{
    const auto demand = static_cast<double>(std::max<std::int64_t>(1, job.order.request.steps.front().demand.milliCores));
    double cores = 0;
    std::uint32_t freeNow = 0;
    for (const auto *target : service.targets) {
        const bool soonUsable = target->ownership == Ownership::Claiming && target->failedProbes == 0 && !target->leaving;
        if (isUsable(*target, now) || soonUsable) {
            cores += tasksIn(target->entry().capacity, demand) * demand / 1000.0 / target->health.slowness(now);
        }
        if (isUsable(*target, now)) {
            freeNow += target->hasUnidentifiedRuns() ? 0 : tasksIn(target->freeRoom(), demand);
        }
    }
    const auto facts = factsOf(job);
    const auto rank = rankOf(m_limits.policy, facts);
    double aheadCoreMs = 0;
    std::size_t aheadTasks = 0;
    for (const auto &[otherRank, id] : service.queue) {
        if (otherRank >= rank) {
            break;
        }
        const auto &other = *m_jobs.at(id);
        aheadCoreMs += other.remainingCoreMs;
        aheadTasks += other.waitingTasks;
    }
    const auto ownTasks = job.waitingTasks;
    if (aheadTasks + ownTasks <= freeNow) {
        return Duration(0);
    }
    if (cores <= 0) {
        return Duration::max() / 4;
    }
    // The job's own tasks wait for each other too: the last of them starts when the others have found room.
    return fromMs((aheadCoreMs + facts.remainingCoreMs / 2) / cores);
}

std::uint32_t Scheduler::freeTasks(const Service &service, TimePoint now) const
{
    const double usual = service.usualMilliCores > 0 ? service.usualMilliCores : UnknownMilliCores;
    std::uint32_t free = 0;
    for (const auto *target : service.targets) {
        if (isUsable(*target, now) && !target->hasUnidentifiedRuns() && !target->health.isOnProbation()) {
            free += tasksIn(target->freeRoom(), usual);
        }
    }
    return free;
}

Duration Scheduler::retryAfter(const Service &service, const std::string &jobId, TimePoint now) const
{
    double cores = 0;
    for (const auto *target : service.targets) {
        cores += isUsable(*target, now) ? static_cast<double>(target->entry().capacity.milliCores) / 1000.0 : 0;
    }
    double queued = 0;
    for (const auto &[rank, id] : service.queue) {
        queued += m_jobs.at(id)->remainingCoreMs;
    }
    const double seconds = cores > 0 ? queued / cores / 1000.0 : 0;
    const auto spread = std::hash<std::string>()(jobId) % RetrySpreadS;
    return Seconds(1 + static_cast<std::int64_t>(std::min(LongestRetryAfterS, seconds)) + static_cast<std::int64_t>(spread));
}

void Scheduler::schedule(const std::string &serviceName, TimePoint now)
{
    auto &service = m_services[serviceName];
    auto largest = largestRoom(service.targets);
    std::vector<ScheduledJob *> fitting;
    for (const auto &[rank, id] : service.queue) {
        auto *job = findJob(id);
        if (!job->ending && job->order.request.steps.front().demand.milliCores <= largest) {
            fitting.push_back(job);
        }
    }
    for (auto *job : fitting) {
        const bool fits = job->order.request.steps.front().demand.milliCores <= largest;
        if (fits && startTasks(*job, service, now)) {
            largest = largestRoom(service.targets);
        }
    }
}

/// Decides anew which targets are kept for tasks that found no room.
void Scheduler::updateKeptTargets(Service &service, TimePoint now)
{
    for (auto *target : service.targets) {
        target->keptForJob.clear();
    }
    auto mayKeep = std::max<std::size_t>(1, service.targets.size() / KeptShare);
    for (const auto &[rank, id] : service.queue) {
        const auto &job = *m_jobs.at(id);
        if (mayKeep == 0 || job.timeliness != Timeliness::InTime) {
            return;
        }
        if (now >= job.order.earlierRunsOverAt) {
            mayKeep -= keepTargets(job, service, mayKeep, now);
        }
    }
}

/// Keeps targets for the tasks of a job that found no room; returns how many.
std::size_t Scheduler::keepTargets(const ScheduledJob &job, const Service &service, std::size_t most, TimePoint now)
{
    std::size_t kept = 0;
    for (const auto &task : job.tasks) {
        if (kept == most) {
            break;
        }
        if (task.phase != TaskPhase::Waiting) {
            continue;
        }
        auto *target = chooseTargetToKeep(service.targets, needOf(job, task, now), now);
        if (target == nullptr) {
            break;
        }
        if (target->keptForJob.empty()) {
            target->keptForJob = job.order.request.id;
            ++kept;
        }
    }
    return kept;
}

PlacementNeed Scheduler::needOf(const ScheduledJob &job, const ScheduledTask &task, TimePoint) const
{
    const auto &step = job.order.request.steps[task.step];
    PlacementNeed need;
    need.demand = step.demand;
    need.requiredLabel = &step.requiredLabel;
    need.dataRack = &step.dataRack;
    need.avoid = &task.avoid;
    need.jobId = job.order.request.id;
    need.step = task.step;
    need.maxPerTarget = step.maxPerTarget;
    need.jobHasStarted = job.hasStarted();
    need.expected = job.expected[task.step];
    need.answerBy = job.order.answerBy;
    need.objectiveAt = job.objectiveAt;
    return need;
}

/// Starts what finds room; true when a task was started.
bool Scheduler::startTasks(ScheduledJob &job, Service &service, TimePoint now)
{
    if (now < job.order.earlierRunsOverAt) {
        return false;
    }
    bool any = false;
    for (auto &task : job.tasks) {
        if (task.phase != TaskPhase::Waiting) {
            continue;
        }
        auto need = needOf(job, task, now);
        auto *target = chooseTarget(service.targets, need, now);
        if (target == nullptr && !task.avoid.empty()) {
            // Better a target on which it failed once than none.
            static const std::set<std::string> AvoidNone;
            need.avoid = &AvoidNone;
            target = chooseTarget(service.targets, need, now);
        }
        if (target == nullptr) {
            break;
        }
        start(job, task, *target, need.expected, now);
        any = true;
    }
    if (any) {
        if (job.timeliness != Timeliness::Overdue) {
            service.fairClock.onStarted(fairRouteOf(job), job.order.priority, job.fairWork, job.fairTag);
        }
        enqueue(job, now);
    }
    return any;
}

void Scheduler::start(ScheduledJob &job, ScheduledTask &task, TargetLedger &target, Duration expected, TimePoint now)
{
    const auto &step = job.order.request.steps[task.step];
    task.phase = TaskPhase::Assigned;
    task.target = target.entry().id;
    ++task.lastRun;
    job.started = true;
    m_ranLately.note(job.order.request.id, now);
    const RunName name {{job.order.request.id, 0, task.step, task.index}, task.lastRun};
    auto &run = target.addRun(name, step.demand, now);
    run.expected = expected;
    run.estimate = step.estimate;
    run.startDeadlineMs = target.leaseUntilMs(StartLease, now);
    target.noteLease(run.startDeadlineMs, now);
    StartRequest order;
    order.name = name;
    order.payload = job.order.request.payload;
    order.leaseUntilMs = run.startDeadlineMs;
    order.fencingToken = target.fencingToken();
    const auto slowed = std::chrono::duration_cast<Duration>(expected * target.health.slowness(now));
    m_observer.onStart(job.order, target.entry().id, name, now - job.order.arrivedAt, slowed);
    m_port.sendStart(target.entry().id, order);
}

/// Cores of the targets that take work, slow ones counted for what they do.
double Scheduler::usableCores(const Service &service, TimePoint now)
{
    double cores = 0;
    for (const auto *target : service.targets) {
        cores +=
            isUsable(*target, now) ? static_cast<double>(target->entry().capacity.milliCores) / 1000.0 / target->health.slowness(now) : 0;
    }
    return cores;
}

/// How long overdue jobs are expected to wait for those ahead of them.
std::unordered_map<std::string, Duration> Scheduler::waitsOfOverdueJobs(TimePoint now) const
{
    std::unordered_map<std::string, Duration> waits;
    for (const auto &[name, service] : m_services) {
        const double cores = usableCores(service, now);
        double aheadCoreMs = 0;
        for (const auto &[rank, id] : service.queue) {
            const auto &job = *m_jobs.at(id);
            if (job.timeliness == Timeliness::Overdue && cores > 0) {
                waits[id] = fromMs(aheadCoreMs / cores);
            }
            aheadCoreMs += job.remainingCoreMs;
        }
    }
    return waits;
}

std::vector<ServiceLoad> Scheduler::loads(TimePoint now) const
{
    std::vector<ServiceLoad> loads;
    for (const auto &[name, service] : m_services) {
        if (service.targets.empty()) {
            continue;
        }
        ServiceLoad load;
        load.service = name;
        load.freeTasks = freeTasks(service, now);
        double queuedCoreMs = 0;
        for (const auto &[rank, id] : service.queue) {
            const auto &job = *m_jobs.at(id);
            queuedCoreMs += job.remainingCoreMs;
            load.queuedTasks += static_cast<std::uint32_t>(job.waitingTasks);
        }
        const double cores = usableCores(service, now);
        load.wait = cores > 0 ? fromMs(queuedCoreMs / cores) : Duration(Seconds(60));
        load.freeTasks -= std::min(load.freeTasks, load.queuedTasks);
        loads.push_back(std::move(load));
    }
    return loads;
}
} // namespace Anvilcart::Fleet
