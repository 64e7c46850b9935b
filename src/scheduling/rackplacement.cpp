#include "scheduling/rackplacement.h"

#include <algorithm>
#include <limits>
#include <map>
#include <optional>
#include <tuple>
#include <utility>

namespace Anvilcart::Fleet
{
namespace
{
const std::string NoRack;
/// A near place that looks free, but is reserved for another job, is not expected sooner than this.
constexpr Milliseconds MinWait {1};
/// The rack of a step that has not started is chosen again after this time; more often would cost much with many queued steps.
constexpr Milliseconds RackChoiceInterval {10};

using Targets = std::vector<TargetLedger *>;

const StepRequest &stepOf(const ScheduledJob &job, std::uint32_t step)
{
    return job.submission.request.steps[step];
}

/// True for a step whose tasks are near each other, on whatever rack that is.
bool isGrouped(const StepRequest &step)
{
    return step.rackLocal && step.dataRack.empty();
}

std::size_t waitingTasksOf(const ScheduledJob &job, std::uint32_t step)
{
    return static_cast<std::size_t>(std::count_if(job.tasks.begin(), job.tasks.end(), [step](const ScheduledTask &task) {
        return task.step == step && task.phase == TaskPhase::Waiting;
    }));
}

/// How many tasks of this demand fit into what is free of the capacity.
std::int64_t placesIn(std::int64_t capacity, std::int64_t demand)
{
    return demand <= 0 ? std::numeric_limits<std::int64_t>::max() : std::max<std::int64_t>(0, capacity) / demand;
}

std::size_t freePlaces(const TargetLedger &target, const PlacementRequest &request)
{
    if (!target.hasCapacityFor(request.demand) || (!target.reservedForJob.empty() && target.reservedForJob != request.jobId)) {
        return 0;
    }
    const auto free = target.freeCapacity();
    const auto places = std::min({placesIn(free.milliCores, request.demand.milliCores),
                                  placesIn(free.memoryMb, request.demand.memoryMb),
                                  placesIn(free.accelerators, request.demand.accelerators)});
    const auto limit = request.maxPerTarget == 0 ? places : static_cast<std::int64_t>(request.maxPerTarget);
    return static_cast<std::size_t>(std::min(places, limit));
}

Duration runTimeOn(const TargetLedger &target, const PlacementRequest &request, double farFactor, TimePoint now)
{
    return std::chrono::duration_cast<Duration>(request.expectedRunTime * farFactor * target.health.slowness(now));
}

/// A place that is expected to be free for a task, and how long the task would run there.
struct ExpectedPlace
{
    TimePoint at;
    Duration runTime {0};
};

/// The place number `number` (from 1) in the order in which they are expected to be free on these targets. When there are fewer, the
/// others come free as the tasks that took the first ones end.
std::optional<ExpectedPlace>
placeExpected(const std::vector<const TargetLedger *> &targets, const PlacementRequest &request, std::size_t number, TimePoint now)
{
    std::vector<ExpectedPlace> places;
    for (const auto *target : targets) {
        const std::size_t limit = request.maxPerTarget == 0 ? number : std::min<std::size_t>(number, request.maxPerTarget);
        auto demand = request.demand;
        for (std::size_t count = 1; count <= limit; ++count) {
            const auto at = target->capacityExpectedAt(demand, now);
            if (!at) {
                break;
            }
            places.push_back({*at, runTimeOn(*target, request, 1, now)});
            demand += request.demand;
        }
    }
    if (places.empty()) {
        return std::nullopt;
    }
    std::sort(places.begin(), places.end(), [](const auto &left, const auto &right) {
        return left.at < right.at;
    });
    auto place = places[(number - 1) % places.size()];
    place.at += place.runTime * static_cast<Duration::rep>((number - 1) / places.size());
    return place;
}

/// The near targets that may run the task, whatever runs there now.
std::vector<const TargetLedger *> usableNearTargets(const Targets &targets, const PlacementRequest &request, TimePoint now)
{
    std::vector<const TargetLedger *> near;
    for (const auto *target : targets) {
        if (isNear(*target, request) && fitsWhenEmpty(target->entry(), request.demand, *request.requiredLabel)
            && isUsableFor(*target, request, now)) {
            near.push_back(target);
        }
    }
    return near;
}

std::map<std::string, std::vector<const TargetLedger *>>
usableTargetsOfRacks(const Targets &targets, const PlacementRequest &request, TimePoint now)
{
    std::map<std::string, std::vector<const TargetLedger *>> racks;
    for (const auto *target : targets) {
        if (!target->entry().rack.empty() && fitsWhenEmpty(target->entry(), request.demand, *request.requiredLabel)
            && isUsableFor(*target, request, now)) {
            racks[target->entry().rack].push_back(target);
        }
    }
    return racks;
}

/// The expected duration of what follows the step in its job.
Duration pathAfter(const ScheduledJob &job, std::uint32_t step)
{
    const auto &steps = job.submission.request.steps;
    std::vector<Duration> afterStep(steps.size(), Duration(0));
    for (auto later = steps.size(); later-- > 0;) {
        for (const auto earlier : steps[later].dependsOn) {
            afterStep[earlier] = std::max(afterStep[earlier], afterStep[later] + job.expectedRunTimes[later]);
        }
    }
    return afterStep[step];
}

/// The number of the near place that the task gets: after the waiting tasks that want the same rack, in jobs that are ranked before its own
/// and in its own. The tasks of a grouped step count as one.
std::size_t placeNumberOf(const ScheduledJob &job, const ScheduledTask &task, const QueueBesideJob &queue)
{
    const auto &rack = nearRackOf(job, task.step);
    const auto &own = stepOf(job, task.step);
    std::int64_t milliCoresAhead = 0;
    const auto addTasks = [&](const ScheduledJob &other, const auto &isAhead) {
        for (const auto &waiting : other.tasks) {
            if (waiting.phase == TaskPhase::Waiting && isAhead(waiting) && nearRackOf(other, waiting.step) == rack) {
                milliCoresAhead += stepOf(other, waiting.step).demand.milliCores;
            }
        }
    };
    for (const auto *other : queue.ahead) {
        addTasks(*other, [](const ScheduledTask &) {
            return true;
        });
    }
    addTasks(job, [&](const ScheduledTask &waiting) {
        return waiting.step < task.step || (waiting.step == task.step && (isGrouped(own) || waiting.index < task.index));
    });
    const auto places = static_cast<std::size_t>(milliCoresAhead / std::max<std::int64_t>(1, own.demand.milliCores));
    return isGrouped(own) ? std::max<std::size_t>(1, places) : places + 1;
}
} // namespace

const std::string &nearRackOf(const ScheduledJob &job, std::uint32_t step)
{
    const auto &request = stepOf(job, step);
    if (!isGrouped(request)) {
        return request.dataRack;
    }
    const auto found = job.rackOfStep.find(step);
    return found == job.rackOfStep.end() || found->second.isGivenUp || found->second.isSplit ? NoRack : found->second.rack;
}

void chooseRack(ScheduledJob &job, const Targets &targets, PlacementRequest &request, TimePoint now)
{
    if (!isGrouped(stepOf(job, request.step))) {
        return;
    }
    auto &chosen = job.rackOfStep[request.step];
    if (chosen.hasStarted || chosen.isGivenUp || now < chosen.chosenAt + RackChoiceInterval) {
        return;
    }
    chosen.chosenAt = now;
    const auto tasks = waitingTasksOf(job, request.step);
    const auto racks = usableTargetsOfRacks(targets, request, now);
    const std::string *best = nullptr;
    std::tuple<TimePoint, std::size_t> bestCost {TimePoint::max(), 0};
    for (const auto &[rack, members] : racks) {
        std::size_t free = 0;
        for (const auto *target : members) {
            free += freePlaces(*target, request);
        }
        // Among racks with capacity now, the one that the step fills best leaves the others to larger steps.
        const std::tuple<TimePoint, std::size_t> cost {now, free};
        if (free >= tasks && cost < bestCost) {
            best = &rack;
            bestCost = cost;
        }
    }
    const bool keepsRack = std::any_of(job.tasks.begin(), job.tasks.end(), [&](const ScheduledTask &task) {
        return task.step == request.step && task.nearWait == NearWait::InProgress;
    });
    if (best == nullptr && !keepsRack) {
        for (const auto &[rack, members] : racks) {
            const auto place = placeExpected(members, request, tasks, now);
            if (place && std::tuple(place->at, std::size_t(0)) < bestCost) {
                best = &rack;
                bestCost = {place->at, 0};
            }
        }
    }
    if (best != nullptr) {
        chosen.rack = *best;
    }
    request.nearRack = &nearRackOf(job, request.step);
}

bool continuesWaitForNear(ScheduledTask &task, const Targets &targets, const PlacementRequest &request, TimePoint now)
{
    if (!task.isWaitingForNear(now)) {
        return false;
    }
    if (usableNearTargets(targets, request, now).empty()) {
        task.nearWait = NearWait::GivenUp;
        return false;
    }
    return true;
}

bool beginWaitForNear(ScheduledJob &job,
                      ScheduledTask &task,
                      const Targets &targets,
                      const TargetLedger &farTarget,
                      const PlacementRequest &request,
                      const QueueBesideJob &queue,
                      TimePoint now)
{
    const auto &step = stepOf(job, task.step);
    NearPlaceForecast forecast;
    const auto near = task.nearWait == NearWait::None
        ? placeExpected(usableNearTargets(targets, request, now), request, placeNumberOf(job, task, queue), now)
        : std::nullopt;
    if (near) {
        const auto tasks = isGrouped(step) ? waitingTasksOf(job, task.step) : 1;
        forecast.now = forecast.farAt = now;
        forecast.nearAt = std::max<TimePoint>(near->at, now + MinWait);
        forecast.nearRunTime = near->runTime;
        forecast.farRunTime = runTimeOn(farTarget, request, request.farFactor, now);
        forecast.remainingPath = pathAfter(job, task.step);
        forecast.objectiveAt = job.objectiveAt;
        forecast.callerDeadline = job.submission.callerDeadline;
        const double extraCores = static_cast<double>(step.demand.milliCores) / 1000 * static_cast<double>(tasks);
        const auto extraTime = std::max(Duration(0), forecast.farRunTime - forecast.nearRunTime);
        forecast.delayOfOthers =
            std::chrono::duration_cast<Duration>(extraTime * (extraCores * static_cast<double>(queue.others) / std::max(1.0, queue.cores)));
    }
    const auto decision = decideNearPlace(forecast);
    const auto *wait = std::get_if<WaitForNear>(&decision);
    if (wait == nullptr) {
        if (isGrouped(step)) {
            job.rackOfStep[task.step].isGivenUp = true;
        }
        return false;
    }
    for (auto &other : job.tasks) {
        const bool waitsToo = &other == &task || (isGrouped(step) && other.step == task.step && other.phase == TaskPhase::Waiting);
        if (waitsToo && other.nearWait == NearWait::None) {
            other.nearWait = NearWait::InProgress;
            other.nearWaitSince = now;
            other.nearWaitUntil = wait->until;
        }
    }
    return true;
}

void recordRackOfRun(
    ScheduledJob &job, const ScheduledTask &task, TargetLedger &target, const Targets &targets, double farFactor, bool isAdopted)
{
    const auto &step = stepOf(job, task.step);
    const RunName name {{job.submission.request.id, 0, task.step, task.index}, task.lastRunNumber};
    auto *run = target.find(name);
    if (run == nullptr || (step.dataRack.empty() && !step.rackLocal)) {
        return;
    }
    run->farFactor = 1;
    const auto markFar = [&](LedgerRun &farRun) {
        if (farRun.farFactor == 1) {
            farRun.farFactor = farFactor;
            farRun.expectedRunTime = std::chrono::duration_cast<Duration>(farRun.expectedRunTime * farFactor);
        }
    };
    const auto &labels = target.entry().labels;
    if (!step.dataRack.empty()) {
        if (std::find(labels.begin(), labels.end(), step.dataRack) == labels.end()) {
            markFar(*run);
        }
        return;
    }
    auto &rack = job.rackOfStep[task.step];
    // What ran of the step before a takeover is not known.
    run->isPartlyFar = isAdopted;
    if (!rack.hasStarted) {
        rack.hasStarted = true;
        rack.rack = target.entry().rack;
    }
    if (target.entry().rack != rack.rack && !rack.isSplit) {
        rack.isSplit = true;
        for (auto *other : targets) {
            for (auto &[otherName, otherRun] : other->runs()) {
                const bool isOfStep = otherName.task.jobId == name.task.jobId && otherName.task.step == name.task.step;
                if (isOfStep && &otherRun != run) {
                    markFar(otherRun);
                    otherRun.isPartlyFar = true;
                }
            }
        }
    }
    if (rack.isSplit) {
        markFar(*run);
    }
}
} // namespace Anvilcart::Fleet
