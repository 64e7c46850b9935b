#include "emulator/emulatedfleet.h"
#include "emulator/faultscenarios.h"
#include "emulator/faultseries.h"
#include "emulator/fleetpresets.h"
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
};

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
    fleet.run(Seconds(3), Seconds(23), Seconds(28));
    for (const auto &[route, result] : fleet.results()) {
        std::printf("%llu,%s,%s,%zu,%zu,%zu,%zu,%zu,%zu,%zu,%zu\n",
                    static_cast<unsigned long long>(seed),
                    run.policy.c_str(),
                    route.c_str(),
                    result.submitted,
                    result.inObjective,
                    result.late,
                    result.overdue,
                    result.refused,
                    result.unanswered,
                    fleet.invariants().violations().size(),
                    result.failed);
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
        commandLine.parse(argc, argv);
        const RunOptions run {
            policy.getValue(), !keepInfeasible.getValue(), connections.getValue(), farFactor.getValue(), verbose.getValue()};
        std::printf("seed,policy,kind,asked,in_objective,late,overdue,refused,unanswered,broken,failed\n");
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
