#include "scheduling/placementchoice.h"
#include "scheduling/scheduler.h"

#include <algorithm>
#include <functional>

// The queue: ranking, forecasts and starts.
namespace Anvilcart::Fleet
{
namespace
{
/// The deadline of a start and the run's first lease; longer than a renewal waits, so that the run is renewed before the lease ends.
constexpr Milliseconds StartLease {450};
/// Late jobs share the capacity as one route of their own, and their work is multiplied by this factor.
constexpr double LateWorkFactor = 8;
const std::string LateRoute = "late";
/// An answer after this many times the objective is of no use to callers, by the users' requirements.
constexpr int OverdueObjectiveMultiple = 3;
/// Base tag of overdue jobs, above the tag of any other job: in core-milliseconds, some 18 years of a service with 1,776 cores.
constexpr double OverdueTag = 1e15;
/// A job counts as late when it would miss its objective if it ran longer than expected by this share. The margin is limited to half of its
/// slack, so that a job with a tight objective is not late on arrival.
constexpr double RunTimeMargin = 0.3;
/// At most one target in this many is reserved for tasks that found no capacity.
constexpr std::size_t TargetsPerReservation = 4;
/// A suspected task is started only while its target could be lost and the others would be loaded up to this share of their capacity.
constexpr double MaxLoadWithoutTarget = 0.75;
/// Weight of a new job in the moving average of task sizes.
constexpr double TypicalSizeWeight = 0.05;
/// Assumed size of a task until the first job: one core.
constexpr double DefaultTaskMilliCores = 1000;
/// Upper limit of the estimated delay before a retry, in seconds.
constexpr double MaxRetryAfterS = 10;
/// The reported wait is longer by this while targets return cold from an evacuation, less with the share of their capacity that is in use
/// again: entry hosts then prefer dispatchers with warm targets.
constexpr double ColdTargetPenaltyMs = 300;
/// Retries are spread over this many seconds.
constexpr std::size_t RetrySpreadS = 3;

bool isUsable(const TargetLedger &target, TimePoint now)
{
    return target.ownership == Ownership::Owned && !target.leaving && !target.unresponsive && !target.isEntryOfEarlierLife()
        && !target.health.isEjected(now) && target.zoneAccess.admitsNewJobs;
}

/// The number of tasks of this many thousandths of a core that fit into the capacity.
std::uint32_t tasksIn(const Resources &capacity, double milliCores)
{
    return static_cast<std::uint32_t>(std::max(0.0, static_cast<double>(capacity.milliCores) / std::max(1.0, milliCores)));
}

/// The number of tasks of this many thousandths of a core that the target could start now.
std::uint32_t startableTasks(const TargetLedger &target, double milliCores)
{
    auto free = target.freeCapacity();
    if (target.zoneAccess.capacityShare < 1) {
        const auto closed = (1 - target.zoneAccess.capacityShare) * static_cast<double>(target.entry().capacity.milliCores);
        free.milliCores -= static_cast<std::int64_t>(closed - target.zoneAccess.shareRounding * milliCores);
    }
    return tasksIn(free, milliCores);
}

/// The largest free capacity of a single target, in thousandths of a core, for jobs that have started or for others.
std::int64_t largestFreeMilliCores(const std::vector<TargetLedger *> &targets, bool jobHasStarted, TimePoint now)
{
    std::int64_t largest = 0;
    for (const auto *target : targets) {
        const bool isFull = target->hasUnidentifiedRuns() || !target->zoneAccess.admits(jobHasStarted, now);
        largest = std::max(largest, isFull ? 0 : target->freeCapacity().milliCores);
    }
    return largest;
}

/// The cores that the target offers, weighted by its speed and by its share while it returns from an evacuation.
double effectiveCores(const TargetLedger &target, double milliCores, TimePoint now)
{
    return milliCores / 1000.0 * target.zoneAccess.capacityShare / target.health.slowness(now);
}

/// The capacity of the largest target.
Resources largestCapacity(const std::vector<TargetLedger *> &targets)
{
    Resources largest;
    for (const auto *target : targets) {
        largest = target->entry().capacity.milliCores > largest.milliCores ? target->entry().capacity : largest;
    }
    return largest;
}

Duration fromMilliseconds(double milliseconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(milliseconds));
}

/// The longer run time of tasks on targets that return cold from an evacuation, on average over the targets.
Duration returnPenalty(const std::vector<TargetLedger *> &targets)
{
    double closedShare = 0;
    for (const auto *target : targets) {
        closedShare += 1 - target->zoneAccess.capacityShare;
    }
    return fromMilliseconds(ColdTargetPenaltyMs * closedShare / static_cast<double>(std::max<std::size_t>(1, targets.size())));
}
} // namespace

void Scheduler::enqueue(ScheduledJob &job, TimePoint)
{
    dequeue(job);
    job.updateRemainingWork();
    if (job.pendingResult || job.waitingTasks == 0) {
        for (auto *target : m_services[job.submission.service].targets) {
            if (target->reservedForJob == job.submission.request.id) {
                target->reservedForJob.clear();
            }
        }
        return;
    }
    job.rank = rankOf(m_limits.policy, rankInputsOf(job));
    auto &service = m_services[job.submission.service];
    service.queue.insert({job.rank, job.submission.request.id});
    const auto demand = static_cast<double>(job.submission.request.steps.front().demand.milliCores);
    service.typicalMilliCores =
        service.typicalMilliCores == 0 ? demand : service.typicalMilliCores + TypicalSizeWeight * (demand - service.typicalMilliCores);
}

QueueRankInputs Scheduler::rankInputsOf(const ScheduledJob &job) const
{
    QueueRankInputs inputs;
    inputs.arrivedAt = job.submission.arrivedAt;
    inputs.objectiveAt = job.objectiveAt;
    inputs.startTag = job.startTag - job.urgencyLead;
    inputs.remainingCoreMs = job.remainingCoreMs;
    inputs.criticalPath = job.criticalPath;
    return inputs;
}

/// The timeliness of the job's answer if it started now.
Timeliness Scheduler::timelinessOf(const ScheduledJob &job, TimePoint now) const
{
    const auto objective = job.objectiveAt - job.submission.arrivedAt;
    const auto slack = std::max(Duration(0), objective - job.criticalPath);
    const auto margin = std::min(std::chrono::duration_cast<Duration>(job.criticalPath * RunTimeMargin), slack / 2);
    const auto waited = now - job.submission.arrivedAt;
    if (waited <= slack - margin) {
        return Timeliness::InTime;
    }
    return waited + job.criticalPath + margin <= objective * OverdueObjectiveMultiple ? Timeliness::Late : Timeliness::Overdue;
}

/// Lowers the priority of waiting jobs that can no longer meet their objective: late jobs yield most of the capacity to those that still
/// can, and overdue jobs all of it. If jobs were served in order after a burst, all of them would be late.
void Scheduler::updateTimeliness(TimePoint now)
{
    std::set<std::string> changed;
    for (auto &[id, job] : m_jobs) {
        if (job->hasStarted() || job->pendingResult) {
            continue;
        }
        const auto timeliness = timelinessOf(*job, now);
        if (timeliness == job->timeliness) {
            continue;
        }
        job->timeliness = timeliness;
        changed.insert(job->submission.service);
    }
    for (const auto &service : changed) {
        reassignTags(service, now);
    }
}

/// The route to whose share the job is charged; late and overdue jobs share one.
const std::string &Scheduler::chargedRouteOf(const ScheduledJob &job) const
{
    return job.timeliness == Timeliness::InTime ? job.submission.route : LateRoute;
}

/// Assigns the next start tag of the job's route to the job.
void Scheduler::assignTag(ScheduledJob &job)
{
    if (job.timeliness == Timeliness::Overdue) {
        job.startTag = OverdueTag + toMilliseconds(job.submission.arrivedAt.time_since_epoch());
        return;
    }
    job.chargedCoreMs = std::max(1.0, job.remainingCoreMs * (job.timeliness == Timeliness::Late ? LateWorkFactor : 1));
    job.startTag =
        m_services[job.submission.service].fairClock.assignStartTag(chargedRouteOf(job), job.submission.priority, job.chargedCoreMs);
}

/// Reassigns the start tags of all waiting jobs in their current order, so that routes are not charged for jobs that have left them.
void Scheduler::reassignTags(const std::string &serviceName, TimePoint now)
{
    auto &service = m_services[serviceName];
    std::vector<ScheduledJob *> jobs;
    for (const auto &[rank, id] : service.queue) {
        jobs.push_back(findJob(id));
    }
    std::set<std::string> routes {LateRoute};
    for (const auto *job : jobs) {
        routes.insert(job->submission.route);
    }
    for (const auto &route : routes) {
        service.fairClock.resetWaitingTags(route);
    }
    for (auto *job : jobs) {
        if (!job->hasStarted()) {
            assignTag(*job);
            enqueue(*job, now);
        }
    }
}

void Scheduler::dequeue(ScheduledJob &job)
{
    m_services[job.submission.service].queue.erase({job.rank, job.submission.request.id});
}

Duration Scheduler::forecastWait(const Service &service, const ScheduledJob &job, TimePoint now) const
{
    const auto demand = static_cast<double>(std::max<std::int64_t>(1, job.submission.request.steps.front().demand.milliCores));
    double cores = 0;
    std::uint32_t freeNow = 0;
    for (const auto *target : service.targets) {
        const bool isUsableSoon = (target->ownership == Ownership::Claiming || target->isEntryOfEarlierLife()) && target->failedProbes == 0
            && !target->leaving && target->zoneAccess.admitsNewJobs;
        if (isUsable(*target, now) || isUsableSoon) {
            cores += effectiveCores(*target, tasksIn(target->entry().capacity, demand) * demand, now);
        }
        if (isUsable(*target, now)) {
            freeNow += target->hasUnidentifiedRuns() ? 0 : startableTasks(*target, demand);
        }
    }
    const auto inputs = rankInputsOf(job);
    const auto rank = rankOf(m_limits.policy, inputs);
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
    // The job's own tasks also wait for each other, on average for half of their work.
    return fromMilliseconds((aheadCoreMs + inputs.remainingCoreMs / 2) / cores);
}

std::uint32_t Scheduler::freeTasks(const Service &service, TimePoint now) const
{
    const double typical = service.typicalMilliCores > 0 ? service.typicalMilliCores : DefaultTaskMilliCores;
    std::uint32_t free = 0;
    if (!m_isEvacuationKnown) {
        return free;
    }
    for (const auto *target : service.targets) {
        if (isUsable(*target, now) && !target->hasUnidentifiedRuns() && !target->health.isOnProbation()) {
            free += startableTasks(*target, typical);
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
    return Seconds(1 + static_cast<std::int64_t>(std::min(MaxRetryAfterS, seconds)) + static_cast<std::int64_t>(spread));
}

void Scheduler::schedule(const std::string &serviceName, TimePoint now)
{
    auto &service = m_services[serviceName];
    auto largestForNew = largestFreeMilliCores(service.targets, false, now);
    const bool isEvacuating = m_zoneEvacuation.isActive();
    auto largestForStarted = isEvacuating ? largestFreeMilliCores(service.targets, true, now) : largestForNew;
    const auto fits = [&](const ScheduledJob &job) {
        return job.submission.request.steps.front().demand.milliCores <= (job.hasStarted() ? largestForStarted : largestForNew);
    };
    std::vector<ScheduledJob *> fitting;
    for (const auto &[rank, id] : service.queue) {
        auto *job = findJob(id);
        if (!job->pendingResult && fits(*job)) {
            fitting.push_back(job);
        }
    }
    for (auto *job : fitting) {
        if (fits(*job) && startTasks(*job, service, now)) {
            largestForNew = largestFreeMilliCores(service.targets, false, now);
            largestForStarted = isEvacuating ? largestFreeMilliCores(service.targets, true, now) : largestForNew;
        }
    }
}

/// The smallest share of a target's capacity that a waiting job asks for, or the typical one where that is smaller: a job of ordinary size
/// may arrive any time.
double Scheduler::smallestWaitingShare(const Service &service, const Resources &capacity) const
{
    double smallest = dominantShare({static_cast<std::int64_t>(service.typicalMilliCores), 0, 0}, capacity);
    for (const auto &[rank, id] : service.queue) {
        smallest = std::min(smallest, dominantShare(m_jobs.at(id)->submission.request.steps.front().demand, capacity));
    }
    return smallest;
}

/// Recomputes which targets are reserved for tasks that found no capacity.
void Scheduler::updateReservedTargets(Service &service, TimePoint now)
{
    for (auto *target : service.targets) {
        target->reservedForJob.clear();
    }
    auto remaining = std::max<std::size_t>(1, service.targets.size() / TargetsPerReservation);
    const auto largest = largestCapacity(service.targets);
    const auto smallestShare = smallestWaitingShare(service, largest);
    for (const auto &[rank, id] : service.queue) {
        const auto &job = *m_jobs.at(id);
        if (remaining == 0 || job.timeliness != Timeliness::InTime) {
            return;
        }
        if (!needsReservation(dominantShare(job.submission.request.steps.front().demand, largest), smallestShare)) {
            continue;
        }
        if (now >= job.submission.mayStartAt() && isGranted(job.submission, now)) {
            remaining -= reserveTargets(job, service, remaining, now);
        }
    }
}

/// Reserves up to maxTargets targets for tasks of the job that found no capacity; returns the number of new reservations.
std::size_t Scheduler::reserveTargets(const ScheduledJob &job, const Service &service, std::size_t maxTargets, TimePoint now)
{
    std::size_t reserved = 0;
    for (const auto &task : job.tasks) {
        if (reserved == maxTargets) {
            break;
        }
        if (task.phase != TaskPhase::Waiting) {
            continue;
        }
        auto request = placementRequestFor(job, task, now);
        if (request.alone) {
            continue;
        }
        request.waitsForNear = task.isWaitingForNear(now);
        auto *target = chooseTargetToReserve(service.targets, request, now);
        if (target == nullptr) {
            break;
        }
        if (target->reservedForJob.empty()) {
            target->reservedForJob = job.submission.request.id;
            ++reserved;
        }
    }
    return reserved;
}

PlacementRequest Scheduler::placementRequestFor(const ScheduledJob &job, const ScheduledTask &task, TimePoint) const
{
    const auto &step = job.submission.request.steps[task.step];
    PlacementRequest request;
    request.demand = step.demand;
    request.requiredLabel = &step.requiredLabel;
    request.nearRack = &nearRackOf(job, task.step);
    request.farFactor = m_limits.farFactor;
    request.avoidedTargets = &task.avoidedTargets;
    request.jobId = job.submission.request.id;
    request.step = task.step;
    request.maxPerTarget = step.maxPerTarget;
    request.alone = m_crashSuspects.mustRunAlone({request.jobId, 0, task.step, task.index});
    request.jobHasStarted = job.hasStarted();
    request.confirmedClaims = confirmedClaims(job.submission);
    request.grantEndsBy = grantEndOf(job.submission);
    request.startLease = StartLease;
    request.expectedRunTime = job.expectedRunTimes[task.step];
    request.callerDeadline = job.submission.callerDeadline;
    request.objectiveAt = job.objectiveAt;
    return request;
}

/// True when the service can afford to lose a target to a task that is suspected of crashes. Under load, the capacity of the target is
/// worth more to the callers of other jobs than a further attempt is to the caller of this one.
bool Scheduler::canSpareTarget(const Service &service, TimePoint now)
{
    std::int64_t capacity = 0;
    std::int64_t used = 0;
    std::int64_t largestIdle = 0;
    for (const auto *target : service.targets) {
        if (!isUsable(*target, now)) {
            continue;
        }
        const auto ownCapacity = target->entry().capacity.milliCores;
        capacity += ownCapacity;
        used += target->hasUnidentifiedRuns() ? ownCapacity : ownCapacity - target->freeCapacity().milliCores;
        largestIdle = target->runs().empty() ? std::max(largestIdle, ownCapacity) : largestIdle;
    }
    return static_cast<double>(used) <= MaxLoadWithoutTarget * static_cast<double>(capacity - largestIdle);
}

/// The jobs ahead of this one, and the number of those that do not wait for a near place.
QueueBesideJob Scheduler::queueBeside(const ScheduledJob &job, const Service &service, TimePoint now) const
{
    QueueBesideJob queue;
    queue.cores = usableCores(service, now);
    bool isAhead = true;
    for (const auto &[rank, id] : service.queue) {
        const auto &other = *m_jobs.at(id);
        isAhead = isAhead && &other != &job;
        if (isAhead) {
            queue.ahead.push_back(&other);
        }
        queue.others += &other != &job && !other.isWaitingForNear(now) ? 1 : 0;
    }
    return queue;
}

/// Starts the waiting tasks for which there is capacity; true when at least one was started.
bool Scheduler::startTasks(ScheduledJob &job, Service &service, TimePoint now)
{
    if (!m_isEvacuationKnown || now < m_startsHeldUntil || now < job.submission.mayStartAt() || !isGranted(job.submission, now)) {
        return false;
    }
    bool any = false;
    std::optional<std::uint32_t> waitingStep;
    for (auto &task : job.tasks) {
        // Where one task of a step waits for a near place, there is none for the others either.
        if (task.phase != TaskPhase::Waiting || (waitingStep == task.step && task.isWaitingForNear(now))) {
            continue;
        }
        auto request = placementRequestFor(job, task, now);
        if (request.alone && !canSpareTarget(service, now)) {
            continue;
        }
        chooseRack(job, service.targets, request, now);
        auto *target = chooseTarget(service.targets, request, now);
        if (target == nullptr && !task.avoidedTargets.empty()) {
            // A target on which the task failed before is better than none.
            static const std::set<std::string> AvoidNone;
            request.avoidedTargets = &AvoidNone;
            target = chooseTarget(service.targets, request, now);
        }
        if (target == nullptr && request.alone) {
            continue;
        }
        if (target != nullptr && !request.alone && isInTimeElsewhere(service.targets, *target, request, now)) {
            continue;
        }
        if (target == nullptr) {
            break;
        }
        if (!isNear(*target, request)
            && (continuesWaitForNear(task, service.targets, request, now)
                || beginWaitForNear(job, task, service.targets, *target, request, queueBeside(job, service, now), now))) {
            waitingStep = task.step;
            continue;
        }
        start(job, task, *target, request, now);
        any = true;
    }
    if (any) {
        if (job.timeliness != Timeliness::Overdue) {
            service.fairClock.onStarted(chargedRouteOf(job), job.submission.priority, job.chargedCoreMs, job.startTag);
        }
        enqueue(job, now);
    }
    return any;
}

/// Reports a far start, and the outcome of the task's wait for a near place.
void Scheduler::reportRack(const ScheduledJob &job, ScheduledTask &task, const TargetLedger &target, const LedgerRun &run, TimePoint now)
{
    const bool isFar = run.farFactor > 1;
    if (isFar) {
        m_observer.onFarStart(job.submission, target.entry().id, run.name, target.entry().rack);
    }
    if (task.nearWait == NearWait::InProgress || task.nearWait == NearWait::GivenUp) {
        const auto outcome = task.nearWait == NearWait::GivenUp ? NearWaitOutcome::GaveUp : NearWaitOutcome::Far;
        m_observer.onNearWaitEnded(run.name, target.entry().rack, isFar ? outcome : NearWaitOutcome::Near, now - task.nearWaitSince);
        task.nearWait = NearWait::Ended;
    }
}

void Scheduler::start(ScheduledJob &job, ScheduledTask &task, TargetLedger &target, const PlacementRequest &placement, TimePoint now)
{
    const auto &step = job.submission.request.steps[task.step];
    task.phase = TaskPhase::Assigned;
    task.target = target.entry().id;
    task.lastRunNumber = ++task.highestRunNumber;
    job.started = true;
    m_recentlyRunJobs.record(job.submission.request.id, now);
    const RunName name {{job.submission.request.id, 0, task.step, task.index}, task.lastRunNumber};
    auto &run = target.addRun(name, step.demand, now);
    run.route = job.submission.route;
    m_port.onRunStarted(job.submission, identityOf(name, target.entry().id, target.startedAtMs()));
    run.expectedRunTime = placement.expectedRunTime;
    run.estimate = step.estimate;
    run.grantEndsBy = placement.grantEndsBy;
    recordRackOfRun(job, task, target, m_services[job.submission.service].targets, m_limits.farFactor, false);
    run.startDeadlineMs = target.leaseEndMs(placement.startLease, now);
    target.recordLease(run.startDeadlineMs, now);
    if (placement.alone) {
        target.reserveFor(name);
        m_crashSuspects.onStartedAlone(name.task);
        m_port.onCrashRecords(job.submission, m_crashSuspects.recordsOf(job.submission.request.id));
    }
    const auto expectedOnTarget = std::chrono::duration_cast<Duration>(run.expectedRunTime * target.health.slowness(now));
    m_observer.onStart(job.submission, target.entry().id, name, now - job.submission.arrivedAt, expectedOnTarget);
    reportRack(job, task, target, run, now);
    m_repeatBudget.onFirstRequest();
    m_overloadPolicy.onStarted(job.submission.route, now);
    sendStart(job, target, run);
}

/// The number of cores of usable targets, with slow targets weighted by their speed.
double Scheduler::usableCores(const Service &service, TimePoint now)
{
    double cores = 0;
    for (const auto *target : service.targets) {
        cores += isUsable(*target, now) ? effectiveCores(*target, static_cast<double>(target->entry().capacity.milliCores), now) : 0;
    }
    return cores;
}

CapacityShortage Scheduler::shortageOf(const Service &service, TimePoint now) const
{
    CapacityShortage shortage;
    shortage.targets = service.targets.size();
    const double cores = usableCores(service, now);
    double aheadCoreMs = 0;
    for (const auto &[rank, id] : service.queue) {
        const auto &job = *m_jobs.at(id);
        // The remaining tasks of a started job may wait for other reasons than capacity, as those that are suspected of crashes do.
        if (job.timeliness != Timeliness::InTime || now >= job.objectiveAt || cores <= 0) {
            continue;
        }
        const auto start = now + fromMilliseconds(aheadCoreMs / cores);
        shortage.jobsForecastToMiss += !job.hasStarted() && timelinessOf(job, start) != Timeliness::InTime ? 1 : 0;
        aheadCoreMs += job.remainingCoreMs;
    }
    return shortage;
}

/// Refuses jobs that have missed their objective while the capacity does not cover those that can still meet theirs. A job that would be
/// answered as unknown, since it may have run before, waits on.
void Scheduler::refuseLateJobs(TimePoint now)
{
    std::vector<std::pair<std::string, std::size_t>> refused;
    for (const auto &[name, service] : m_services) {
        const auto shortage = shortageOf(service, now);
        for (const auto &[rank, id] : service.queue) {
            const auto &job = *m_jobs.at(id);
            if (!job.hasStarted() && m_overloadPolicy.refuses(job.submission.route, job.timeliness, shortage, now)
                && !mayHaveRunBefore(job.submission, now)) {
                refused.emplace_back(id, shortage.jobsForecastToMiss);
            }
        }
    }
    for (const auto &[id, jobsForecastToMiss] : refused) {
        const auto &submission = m_jobs.at(id)->submission;
        m_observer.onLateJobRefused(submission, now - submission.arrivedAt, jobsForecastToMiss);
        endJob(id, {JobEnd::NotRun, JobEndReason::Overload, retryAfter(m_services[submission.service], id, now), {}}, now);
    }
}

/// For each overdue job, the expected wait for the jobs ahead of it.
std::unordered_map<std::string, Duration> Scheduler::waitsOfOverdueJobs(TimePoint now) const
{
    std::unordered_map<std::string, Duration> waits;
    for (const auto &[name, service] : m_services) {
        const double cores = usableCores(service, now);
        double aheadCoreMs = 0;
        for (const auto &[rank, id] : service.queue) {
            const auto &job = *m_jobs.at(id);
            if (job.timeliness == Timeliness::Overdue && cores > 0) {
                waits[id] = fromMilliseconds(aheadCoreMs / cores);
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
        load.wait = cores > 0 ? fromMilliseconds(queuedCoreMs / cores) : Duration(Seconds(60));
        load.wait += returnPenalty(service.targets);
        load.freeTasks -= std::min(load.freeTasks, load.queuedTasks);
        loads.push_back(std::move(load));
    }
    return loads;
}
} // namespace Anvilcart::Fleet
