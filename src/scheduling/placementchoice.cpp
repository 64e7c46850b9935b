#include "scheduling/placementchoice.h"

#include <algorithm>
#include <limits>
#include <set>

namespace Anvilcart::Fleet
{
namespace
{
/// A task that leaves a target almost free costs as much as that much more slowness, against one that fills it. A task with time to
/// spare looks for the fit first, so that room for large tasks is left elsewhere.
constexpr double FitWeightShortOfTime = 0.2;
constexpr double FitWeight = 1.0;
/// How much a task with time to spare prefers a slow target to a good fit.
constexpr double SpareFastWeight = 1.5;
/// A task is short of time when its caller waits less than this many times its expected run time: estimates are off by 40%.
constexpr double ShortOfTime = 2.5;
/// Run times are expected to exceed their forecast by up to this factor when an objective must be met.
constexpr double ForecastMargin = 1.3;
/// Cost of a target that misses the objective, above that of every one that meets it.
constexpr double MissesObjective = 100;
/// A task far from its data counts as that much slower; the settings' factor is at least that on every site.
constexpr double FarFromData = 1.5;
/// A target this much slower is passed over when the task would miss the caller's limit there.
constexpr double PlainlySlow = 1.5;

bool hasLabel(const TargetEntry &target, const std::string &label)
{
    return label.empty() || std::find(target.labels.begin(), target.labels.end(), label) != target.labels.end();
}

/// True when only room decides whether the task may start there.
bool isAllowed(const TargetLedger &target, const PlacementNeed &need, TimePoint now)
{
    if (target.ownership == Ownership::Claiming || target.leaving || target.silent || target.failedProbes > 0
        || target.health.isEjected(now)) {
        return false;
    }
    if (target.ownership == Ownership::Retiring && !need.jobHasStarted) {
        return false;
    }
    if (target.health.isOnProbation() && !target.runs().empty()) {
        return false;
    }
    if (!hasLabel(target.entry(), *need.requiredLabel) || need.avoid->contains(target.entry().id)) {
        return false;
    }
    if (!target.keptForJob.empty() && target.keptForJob != need.jobId) {
        return false;
    }
    const auto slowness = target.health.slowness(now);
    if (slowness > PlainlySlow && now + std::chrono::duration_cast<Duration>(need.expected * slowness) > need.answerBy) {
        return false;
    }
    return need.maxPerTarget == 0 || target.runsOfStep(need.jobId, need.step) < need.maxPerTarget;
}
bool isShortOfTime(const PlacementNeed &need, TimePoint now)
{
    return toMilliseconds(need.answerBy - now) < ShortOfTime * std::max(1.0, toMilliseconds(need.expected));
}

/// The cost of running the task on a target that is slowness times slower than an ordinary one.
double timeCost(const PlacementNeed &need, double slowness, TimePoint now)
{
    const auto expected = std::max(1.0, toMilliseconds(need.expected));
    if (isShortOfTime(need, now)) {
        return slowness;
    }
    const bool meets = toMilliseconds(need.objectiveAt - now) >= ForecastMargin * expected * slowness;
    return meets ? -SpareFastWeight * slowness : MissesObjective + slowness;
}
} // namespace

TargetLedger *chooseTarget(const std::vector<TargetLedger *> &targets, const PlacementNeed &need, TimePoint now)
{
    TargetLedger *best = nullptr;
    double bestCost = std::numeric_limits<double>::max();
    const double fitWeight = isShortOfTime(need, now) ? FitWeightShortOfTime : FitWeight;
    for (auto *target : targets) {
        if (!target->hasRoomFor(need.demand) || !isAllowed(*target, need, now)) {
            continue;
        }
        const double slowness = target->health.slowness(now);
        const auto capacity = std::max<std::int64_t>(1, target->entry().capacity.milliCores);
        const double left = static_cast<double>(target->freeRoom().milliCores - need.demand.milliCores) / static_cast<double>(capacity);
        double cost = timeCost(need, slowness, now) + fitWeight * left;
        if (!need.dataRack->empty() && !hasLabel(target->entry(), *need.dataRack)) {
            cost = MissesObjective + timeCost(need, slowness * FarFromData, now);
        }
        if (cost < bestCost) {
            bestCost = cost;
            best = target;
        }
    }
    return best;
}

TargetLedger *chooseTargetToKeep(const std::vector<TargetLedger *> &targets, const PlacementNeed &need, TimePoint now)
{
    TargetLedger *best = nullptr;
    auto bestAt = TimePoint::max();
    for (auto *target : targets) {
        if (!isAllowed(*target, need, now)) {
            continue;
        }
        const auto at = target->roomExpectedAt(need.demand, now);
        if (at && *at < bestAt) {
            bestAt = *at;
            best = target;
        }
    }
    return best;
}

bool couldEverHold(const TargetEntry &target, const Resources &demand, const std::string &requiredLabel)
{
    return target.capacity.hasCapacityFor(demand, Resources()) && hasLabel(target, requiredLabel);
}
} // namespace Anvilcart::Fleet
