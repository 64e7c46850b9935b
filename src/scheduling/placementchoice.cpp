#include "scheduling/placementchoice.h"

#include <algorithm>
#include <limits>
#include <set>

namespace Anvilcart::Fleet
{
namespace
{
/// Weight of the fit: the cost, in units of slowness, of leaving a target almost free rather than filling it. It is higher for a task with
/// time to spare, which leaves capacity for large tasks on other targets.
constexpr double UrgentFitWeight = 0.2;
constexpr double FitWeight = 1.0;
/// How strongly a slow target is preferred, relative to the fit, when the task has time to spare.
constexpr double SlowTargetPreference = 1.5;
/// A task is urgent when its caller waits less than this multiple of its expected run time: estimates are off by 40%.
constexpr double UrgentTaskTimeRatio = 2.5;
/// Run times are assumed to exceed their forecast by up to this factor when an objective must be met.
constexpr double ForecastMargin = 1.3;
/// Added to the cost of a target on which a task that is not urgent would miss the objective, and of one far from the task's rack; more
/// than the whole cost of any other target.
constexpr double MissedObjectiveCost = 100;
/// Added to the cost of a target in an evacuated zone, which is taken only where no other one has capacity.
constexpr double EvacuatedZoneCost = 1000;
/// A task waits for a target that is faster than the free one by this factor. Smaller differences are within the error of measured speeds,
/// and would leave capacity unused.
constexpr double FasterTargetRatio = 1.5;
/// A target below this slowness is never skipped for a faster one.
constexpr double MuchSlowerRatio = 2;
/// A target slower than this is skipped when the task would miss its caller's deadline there.
constexpr double SlowTargetRatio = 1.5;

bool hasLabel(const TargetEntry &target, const std::string &label)
{
    return label.empty() || std::find(target.labels.begin(), target.labels.end(), label) != target.labels.end();
}

/// True while the target has answered nothing since a start that went unanswered: it may be down.
bool isSilentSinceStart(const TargetLedger &target)
{
    return std::any_of(target.runs().begin(), target.runs().end(), [&](const auto &entry) {
        return entry.second.phase == RunPhase::Unconfirmed && entry.second.sentAt > target.lastAnswerAt;
    });
}

bool isUsable(const TargetLedger &target, const PlacementRequest &request, TimePoint now)
{
    if (target.ownership == Ownership::Claiming || target.leaving || target.unresponsive || target.restartSuspected
        || target.failedProbes > 0 || target.health.isEjected(now)) {
        return false;
    }
    if (target.claimNumber > request.confirmedClaims || !target.mayExtendLeases(now) || target.isEntryOfEarlierLife()) {
        return false;
    }
    if (!target.mayStartUnder(request.grantEndsBy, request.startLease, now)) {
        return false;
    }
    if (!target.zoneAccess.admits(request.jobHasStarted, now) || (target.ownership == Ownership::Retiring && !request.jobHasStarted)) {
        return false;
    }
    if (isSilentSinceStart(target)) {
        return false;
    }
    if (target.health.isOnProbation() && !target.runs().empty()) {
        return false;
    }
    if (!hasLabel(target.entry(), *request.requiredLabel) || request.avoidedTargets->contains(target.entry().id)) {
        return false;
    }
    const auto slowness = target.health.slowness(now);
    return slowness <= SlowTargetRatio
        || now + std::chrono::duration_cast<Duration>(request.expectedRunTime * slowness) <= request.callerDeadline;
}

/// Checks every condition for starting the task on the target except free capacity.
bool isAllowed(const TargetLedger &target, const PlacementRequest &request, TimePoint now)
{
    if (!isUsable(target, request, now) || (!target.reservedForJob.empty() && target.reservedForJob != request.jobId)) {
        return false;
    }
    return request.maxPerTarget == 0 || target.runsOfStep(request.jobId, request.step) < request.maxPerTarget;
}
bool isUrgent(const PlacementRequest &request, TimePoint now)
{
    return toMilliseconds(request.callerDeadline - now) < UrgentTaskTimeRatio * std::max(1.0, toMilliseconds(request.expectedRunTime));
}

/// The cost of running the task on a target that is slowness times slower than an ordinary one.
double timeCost(const PlacementRequest &request, double slowness, TimePoint now)
{
    const auto expected = std::max(1.0, toMilliseconds(request.expectedRunTime));
    if (isUrgent(request, now)) {
        return slowness;
    }
    const bool meetsObjective = toMilliseconds(request.objectiveAt - now) >= ForecastMargin * expected * slowness;
    return meetsObjective ? -SlowTargetPreference * slowness : MissedObjectiveCost + slowness;
}
} // namespace

TargetLedger *chooseTarget(const std::vector<TargetLedger *> &targets, const PlacementRequest &request, TimePoint now)
{
    TargetLedger *best = nullptr;
    double bestCost = std::numeric_limits<double>::max();
    const double fitWeight = isUrgent(request, now) ? UrgentFitWeight : FitWeight;
    for (auto *target : targets) {
        if (!target->hasCapacityFor(request.demand) || (request.alone && !target->runs().empty()) || !isAllowed(*target, request, now)) {
            continue;
        }
        const double slowness = target->health.slowness(now);
        const auto capacity = std::max<std::int64_t>(1, target->entry().capacity.milliCores);
        const double unusedShare =
            static_cast<double>(target->freeCapacity().milliCores - request.demand.milliCores) / static_cast<double>(capacity);
        double cost = timeCost(request, slowness, now) + fitWeight * unusedShare;
        if (!isNear(*target, request)) {
            cost = MissedObjectiveCost + timeCost(request, slowness * request.farFactor, now);
        }
        cost += target->zoneAccess.admitsNewJobs ? 0 : EvacuatedZoneCost;
        if (cost < bestCost) {
            bestCost = cost;
            best = target;
        }
    }
    return best;
}

TargetLedger *chooseTargetToReserve(const std::vector<TargetLedger *> &targets, const PlacementRequest &request, TimePoint now)
{
    TargetLedger *best = nullptr;
    auto earliest = TimePoint::max();
    for (auto *target : targets) {
        // Capacity that an evacuation closes, or opens only by and by, is of no use to a task that waits for it.
        const bool isClosing = !target->zoneAccess.admitsNewJobs || target->zoneAccess.capacityShare < 1;
        const bool isTargetNear = isNear(*target, request);
        if (isClosing || (request.waitsForNear && !isTargetNear) || !isAllowed(*target, request, now)) {
            continue;
        }
        auto expectedAt = target->capacityExpectedAt(request.demand, now);
        if (expectedAt && !isTargetNear) {
            *expectedAt += std::chrono::duration_cast<Duration>(request.expectedRunTime * (request.farFactor - 1));
        }
        if (expectedAt && *expectedAt < earliest) {
            earliest = *expectedAt;
            best = target;
        }
    }
    return best;
}

bool isNear(const TargetLedger &target, const PlacementRequest &request)
{
    return hasLabel(target.entry(), *request.nearRack);
}

bool isUsableFor(const TargetLedger &target, const PlacementRequest &request, TimePoint now)
{
    return isUsable(target, request, now);
}

bool isInTimeElsewhere(const std::vector<TargetLedger *> &targets,
                       const TargetLedger &chosen,
                       const PlacementRequest &request,
                       TimePoint now)
{
    const auto endsInTime = [&request](TimePoint start, double slowness) {
        return start + std::chrono::duration_cast<Duration>(request.expectedRunTime * slowness) <= request.objectiveAt;
    };
    const auto slowness = chosen.health.slowness(now);
    if (slowness < MuchSlowerRatio || endsInTime(now, slowness)) {
        return false;
    }
    return std::any_of(targets.begin(), targets.end(), [&](const TargetLedger *target) {
        const auto otherSlowness = target->health.slowness(now);
        if (otherSlowness * FasterTargetRatio > slowness || !isAllowed(*target, request, now)) {
            return false;
        }
        const auto expectedAt = target->capacityExpectedAt(request.demand, now);
        return expectedAt && endsInTime(*expectedAt, otherSlowness);
    });
}

bool fitsWhenEmpty(const TargetEntry &target, const Resources &demand, const std::string &requiredLabel)
{
    return target.capacity.hasCapacityFor(demand, Resources()) && hasLabel(target, requiredLabel);
}
} // namespace Anvilcart::Fleet
