#include "emulator/fleetpresets.h"

namespace Anvilcart::Emulation
{
namespace
{
JobKind makeJobKind(const std::string &route, double jobsPerSecond, std::uint32_t tasks, Duration runTime, std::int64_t priority)
{
    JobKind jobKind;
    jobKind.route = route;
    jobKind.jobsPerSecond = jobsPerSecond;
    jobKind.tasks = tasks;
    jobKind.runTime = runTime;
    jobKind.priority = priority;
    return jobKind;
}
} // namespace

std::vector<JobKind> ordinaryJobKinds()
{
    return {makeJobKind("short", 17, 8, Milliseconds(60), 0),
            makeJobKind("long", 3.1, 4, Milliseconds(830), 2),
            makeJobKind("middle", 50, 2, Milliseconds(185), 1)};
}

std::vector<JobKind> longTimeoutJobKinds()
{
    auto kinds = ordinaryJobKinds();
    for (auto &kind : kinds) {
        kind.callerTimeout = Seconds(2);
        kind.callerTimeoutObjectives = 3;
    }
    return kinds;
}

FleetOptions optionsOfOrdinaryFleet(std::uint64_t seed)
{
    FleetOptions options;
    options.seed = seed;
    options.kinds = longTimeoutJobKinds();
    return options;
}

FleetOptions optionsOfHotRacks(std::uint64_t seed)
{
    auto options = optionsOfOrdinaryFleet(seed);
    for (auto &kind : options.kinds) {
        if (kind.route == "middle") {
            kind.jobsPerSecond = 40;
            kind.dataRacks = {EmulatedFleet::rackOf("a", 0), EmulatedFleet::rackOf("b", 0)};
        }
        kind.rackLocal = kind.route == "short";
    }
    return options;
}

FleetOptions optionsOfHotRacksAtHighLoad(std::uint64_t seed)
{
    auto options = optionsOfHotRacks(seed);
    for (auto &kind : options.kinds) {
        kind.jobsPerSecond *= 1.4;
    }
    return options;
}

FleetOptions optionsOfOnePool(std::uint64_t seed)
{
    auto options = optionsOfOrdinaryFleet(seed);
    options.targetsPerZone = 16;
    for (auto &kind : options.kinds) {
        kind.jobsPerSecond *= 2;
        if (kind.route == "long") {
            kind.runTime = Milliseconds(1500);
        }
    }
    return options;
}

FleetOptions optionsOfSeveralPools(std::uint64_t seed)
{
    auto options = optionsOfOrdinaryFleet(seed);
    options.targetsPerZone = 25;
    for (auto &kind : options.kinds) {
        kind.jobsPerSecond *= 3;
    }
    return options;
}

FleetOptions optionsOfEvacuation(std::uint64_t seed)
{
    auto options = seed % 4 < 2 ? optionsOfOnePool(seed) : optionsOfSeveralPools(seed);
    options.limits.evacuationBound = Seconds(5);
    return options;
}

FleetOptions optionsOfLongRuns(std::uint64_t seed)
{
    auto options = optionsOfSeveralPools(seed);
    for (auto &kind : options.kinds) {
        if (kind.route == "long") {
            kind.runTime = Milliseconds(2200);
        }
    }
    return options;
}

FleetOptions optionsOfFaultSeries(std::uint64_t seed)
{
    if (seed % 4 == 1) {
        return optionsOfSeveralPools(seed);
    }
    if (seed % 4 == 3) {
        return optionsOfLongRuns(seed);
    }
    return optionsOfOrdinaryFleet(seed);
}

FleetOptions optionsOfSharedIds(std::uint64_t seed)
{
    auto options = optionsOfFaultSeries(seed);
    options.sharesIds = true;
    return options;
}

FleetOptions optionsOfScarceCapacity(std::uint64_t seed)
{
    // The customers state the mean run time of a task; the values below are medians of the longest task of a job.
    constexpr double MedianOfLongest = 1.085;
    constexpr double TaskSpread = 0.3;
    constexpr std::int64_t TaskMilliCores = 8000;
    const auto runTime = [](double milliseconds) {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(milliseconds * MedianOfLongest));
    };
    auto options = optionsOfOrdinaryFleet(seed);
    options.limits.refuseLate = true;
    options.targetsPerZone = 12;
    options.targetMilliCores = 2 * TaskMilliCores;
    options.kinds = {makeJobKind("short", 20.6, 8, runTime(60), 0),
                     makeJobKind("long", 3.75, 4, runTime(900), 2),
                     makeJobKind("middle", 60, 2, runTime(200), 1)};
    for (auto &kind : options.kinds) {
        kind.callerTimeout = Seconds(2);
        kind.callerTimeoutObjectives = 3;
        kind.milliCores = TaskMilliCores;
        kind.taskSpread = TaskSpread;
    }
    return options;
}

FleetOptions optionsOfScarceCapacityInPools(std::uint64_t seed)
{
    auto options = optionsOfScarceCapacity(seed);
    constexpr std::size_t TargetsPerZone = 25;
    for (auto &kind : options.kinds) {
        kind.jobsPerSecond *= static_cast<double>(TargetsPerZone) / static_cast<double>(options.targetsPerZone);
    }
    options.targetsPerZone = TargetsPerZone;
    return options;
}

FleetOptions optionsOfLateFrames(std::uint64_t seed)
{
    auto options = optionsOfLongRuns(seed);
    options.hasConnections = true;
    return options;
}
} // namespace Anvilcart::Emulation
