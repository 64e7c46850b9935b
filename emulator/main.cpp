#include "emulator/emulatedfleet.h"
#include "emulator/faultscenarios.h"
#include "emulator/faultseries.h"
#include "emulator/fleetpresets.h"
#include "emulator/queuereplay.h"
#include "emulator/randomfaults.h"

#include <tclap/CmdLine.h>

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <iostream>
#include <iterator>
#include <string>
#include <vector>

namespace
{
using namespace Anvilcart;
using namespace Anvilcart::Emulation;

/// A fleet and the faults that it is tested with.
struct Scenario
{
    const char *name;
    FleetOptions (*makeOptions)(std::uint64_t seed);
    /// Returns a description of the faults.
    std::string (*addFaults)(EmulatedFleet &fleet, const FleetOptions &options, std::uint64_t seed);
    /// Callers submit jobs for 20 s from this time on.
    Duration firstCallers = Seconds(3);
};

/// Adds faults that depend neither on the fleet's options nor on the seed.
template<std::string (*addFaults)(EmulatedFleet &fleet)>
std::string addFixed(EmulatedFleet &fleet, const FleetOptions &, std::uint64_t)
{
    return addFaults(fleet);
}

std::string addNone(EmulatedFleet &, const FleetOptions &, std::uint64_t)
{
    return "none";
}

constexpr Scenario Scenarios[] = {
    {"mixed", optionsOfOrdinaryFleet, addRandomFaults},
    {"evacuation", optionsOfEvacuation, addEvacuation},
    {"worst-load", optionsOfOrdinaryFleet, addFixed<addWorstLoad>},
    {"burst", optionsOfOrdinaryFleet, addFixed<addLoadBurst>},
    {"overload", optionsOfScarceCapacity, addOverload, OverloadCallersFrom},
    {"overload-pools", optionsOfScarceCapacityInPools, addOverload, OverloadCallersFrom},
    {"crashing-jobs",
     optionsOfOrdinaryFleet,
     [](EmulatedFleet &fleet, const FleetOptions &, std::uint64_t) {
         return addCrashingJobs(fleet, Seconds(4), Seconds(10));
     }},
    {"crashes", optionsOfOrdinaryFleet, addCrashesAndFaults},
    {"restarts",
     optionsOfOrdinaryFleet,
     [](EmulatedFleet &fleet, const FleetOptions &, std::uint64_t seed) {
         return addRestartingTargets(fleet, 0, seed);
     }},
    {"late-restarts",
     optionsOfOrdinaryFleet,
     [](EmulatedFleet &fleet, const FleetOptions &, std::uint64_t seed) {
         return addRestartingTargets(fleet, 0.06, seed);
     }},
    {"lost-sight", optionsOfSeveralPools, addLossesOfSight},
    {"flapping-zone", optionsOfOrdinaryFleet, addFlappingZone},
    {"zone-cuts", optionsOfOnePool, addZoneCuts},
    {"short-cuts", optionsOfSeveralPools, addShortHostCuts},
    {"short-freezes", optionsOfSeveralPools, addShortFreezes},
    {"resubmissions", optionsOfLongRuns, addResubmissions},
    {"handed-on", optionsOfLongRuns, addResubmissionsOfHandedOnJobs},
    {"fault-series", optionsOfFaultSeries, addFaultSeries},
    {"shared-ids", optionsOfSharedIds, addFaultSeries},
    {"shared-ids-lost-sight",
     [](std::uint64_t seed) {
         auto options = optionsOfSeveralPools(seed);
         options.sharesIds = true;
         return options;
     },
     addLossesOfSight},
    {"late-frames", optionsOfLateFrames, addLateFrames},
    {"staggered-losses", optionsOfLateFrames, addStaggeredLosses},
    {"late-reads", optionsOfLongRuns, addLateReads},
    {"unanswered-orders", optionsOfOrdinaryFleet, addFixed<addUnansweredOrders>},
    {"hot-racks", optionsOfHotRacks, addNone},
    {"hot-racks-high", optionsOfHotRacksAtHighLoad, addNone},
    {"hot-racks-faults", optionsOfHotRacks, addRandomFaults},
    {"none", optionsOfOrdinaryFleet, addNone},
};

const Scenario &scenarioNamed(const std::string &name)
{
    return *std::find_if(std::begin(Scenarios), std::end(Scenarios), [&](const Scenario &scenario) {
        return scenario.name == name;
    });
}

/// Settings that the command line makes for every seed.
struct RunOptions
{
    std::string policy;
    bool refuseInfeasible = true;
    bool hasConnections = false;
    double farFactor = 1.5;
    bool verbose = false;
    /// Prints the results of the largest jobs and of zones, and of a replay with full knowledge.
    bool details = false;
};

void printResult(
    std::uint64_t seed, const std::string &policy, const std::string &name, const JobKindResult &result, std::size_t violations)
{
    const double meanRefusalMs = result.refused == 0 ? 0 : toMilliseconds(result.timeToRefusal) / static_cast<double>(result.refused);
    std::printf("%llu,%s,%s,%zu,%zu,%zu,%zu,%zu,%zu,%zu,%zu,%.0f\n",
                static_cast<unsigned long long>(seed),
                policy.c_str(),
                name.c_str(),
                result.submitted,
                result.inObjective,
                result.late,
                result.overdue,
                result.refused,
                result.unanswered,
                violations,
                result.failed,
                meanRefusalMs);
}

/// Prints the results of large jobs and of zones, and what one queue with full knowledge does with the same load in the same time.
void printDetails(std::uint64_t seed, const std::string &policy, const EmulatedFleet &fleet, const FleetOptions &options)
{
    for (const auto &[route, result] : fleet.callers().resultsOfLargeJobs()) {
        printResult(seed, policy, "large-" + route, result, 0);
    }
    for (const auto &[zone, result] : fleet.callers().resultsByZone()) {
        printResult(seed, policy, "zone-" + zone, result, 0);
    }
    if (options.targetMilliCores == 0) {
        return;
    }
    const auto tasksPerTarget = static_cast<std::size_t>(options.targetMilliCores / options.kinds.front().milliCores);
    const ReplayCapacity capacity {options.targetsPerZone * options.targetZones.size(), tasksPerTarget, overloadOf(options, seed)};
    constexpr std::pair<const char *, ReplayOrder> Orders[] = {{"replay-fair-share", ReplayOrder::FairShares},
                                                               {"replay-newest-first", ReplayOrder::FairSharesNewestFirst},
                                                               {"replay-least-work", ReplayOrder::LeastWork},
                                                               {"replay-earliest-objective", ReplayOrder::EarliestObjective}};
    for (const auto &[name, order] : Orders) {
        for (const auto &[route, result] : replayWithFullKnowledge(fleet.callers().submittedJobs(), capacity, order)) {
            printResult(seed, name, route, result, 0);
        }
    }
}

/// Emulates a fleet with one seed and prints the results; returns the number of violated invariants.
std::size_t runSeed(std::uint64_t seed, const RunOptions &run, const Scenario &scenario)
{
    auto options = scenario.makeOptions(seed);
    options.hasConnections = options.hasConnections || run.hasConnections;
    options.limits.policy = Fleet::queuePolicyNamed(run.policy);
    options.limits.refuseInfeasible = run.refuseInfeasible;
    options.limits.farFactor = run.farFactor;
    EmulatedFleet fleet(options);
    const auto description = scenario.addFaults(fleet, options, seed);
    fleet.run(scenario.firstCallers, scenario.firstCallers + Seconds(20), scenario.firstCallers + Seconds(25));
    for (const auto &[route, result] : fleet.results()) {
        printResult(seed, run.policy, route, result, fleet.invariants().violations().size());
    }
    if (run.details) {
        printDetails(seed, run.policy, fleet, options);
    }
    if (run.verbose || !fleet.invariants().violations().empty()) {
        std::printf("# seed %llu: %s\n", static_cast<unsigned long long>(seed), description.c_str());
        for (const auto &line : fleet.invariants().violations()) {
            std::printf("# broken: %s\n", line.c_str());
        }
    }
    return fleet.invariants().violations().size();
}
} // namespace

int main(int argc, char **argv)
{
    try {
        TCLAP::CmdLine commandLine("Emulates a fleet with each seed and prints a row of CSV for each kind of job.", ' ', "1");
        TCLAP::ValueArg<std::uint64_t> first("f", "first", "the first seed", false, 1, "SEED", commandLine);
        TCLAP::ValueArg<std::uint64_t> seeds("n", "seeds", "number of seeds", false, 10, "COUNT", commandLine);
        TCLAP::ValueArg<std::string> policy("q", "queue", "queue policy", false, "fair-share", "POLICY", commandLine);
        TCLAP::SwitchArg keepInfeasible("", "keep-hopeless", "accept jobs that cannot meet their deadline", commandLine);
        std::vector<std::string> names;
        for (const auto &known : Scenarios) {
            names.emplace_back(known.name);
        }
        TCLAP::ValuesConstraint<std::string> knownScenarios(names);
        TCLAP::ValueArg<std::string> scenario("t", "troubles", "fault scenario", false, "mixed", &knownScenarios, commandLine);
        TCLAP::SwitchArg connections("c", "connections", "deliver frames between hosts late after a cut, in every scenario", commandLine);
        TCLAP::SwitchArg verbose("v", "verbose", "print the faults of each seed", commandLine);
        TCLAP::ValueArg<double> farFactor("x", "far", "run time factor of far placements", false, 1.5, "FACTOR", commandLine);
        TCLAP::SwitchArg details(
            "d", "details", "print the results of the largest jobs and of zones, and a replay with full knowledge", commandLine);
        commandLine.parse(argc, argv);
        const RunOptions run {policy.getValue(),
                              !keepInfeasible.getValue(),
                              connections.getValue(),
                              farFactor.getValue(),
                              verbose.getValue(),
                              details.getValue()};
        std::printf("seed,policy,kind,asked,in_objective,late,overdue,refused,unanswered,broken,failed,refusal_ms\n");
        std::size_t violationCount = 0;
        for (std::uint64_t seed = first.getValue(); seed < first.getValue() + seeds.getValue(); ++seed) {
            violationCount += runSeed(seed, run, scenarioNamed(scenario.getValue()));
        }
        return violationCount == 0 ? 0 : 1;
    } catch (const TCLAP::ArgException &error) {
        std::cerr << "anvilcart-emulate: " << error.error() << "\n";
        return 2;
    }
}
