#include "emulator/emulatedfleet.h"
#include "emulator/troublemix.h"

#include <tclap/CmdLine.h>

#include <cstdio>
#include <iostream>

namespace
{
using namespace Anvilcart;
using namespace Anvilcart::Emulation;

/// Plays one seed; returns the number of broken promises.
std::size_t play(std::uint64_t seed, const std::string &policy, bool refuseHopeless, const std::string &faults, bool verbose)
{
    FleetOptions options;
    options.seed = seed;
    options.kinds = patientKinds();
    options.limits.policy = Fleet::queuePolicyNamed(policy);
    options.limits.refuseInfeasible = refuseHopeless;
    EmulatedFleet fleet(options);
    std::string troubles = "none";
    if (faults == "mixed") {
        troubles = addTroubles(fleet, options, seed);
    } else if (faults == "worst-load") {
        troubles = addWorstLoad(fleet);
    } else if (faults == "burst") {
        troubles = addBurst(fleet);
    }
    fleet.run(Seconds(3), Seconds(23), Seconds(28));
    for (const auto &[route, result] : fleet.results()) {
        std::printf("%llu,%s,%s,%zu,%zu,%zu,%zu,%zu,%zu,%zu\n",
                    static_cast<unsigned long long>(seed),
                    policy.c_str(),
                    route.c_str(),
                    result.asked,
                    result.inObjective,
                    result.late,
                    result.overdue,
                    result.refused,
                    result.unanswered,
                    fleet.promises().broken().size());
    }
    if (verbose || !fleet.promises().broken().empty()) {
        std::printf("# seed %llu: %s\n", static_cast<unsigned long long>(seed), troubles.c_str());
        for (const auto &line : fleet.promises().broken()) {
            std::printf("# broken: %s\n", line.c_str());
        }
    }
    return fleet.promises().broken().size();
}
} // namespace

int main(int argc, char **argv)
{
    try {
        TCLAP::CmdLine commandLine("Plays seeds of an emulated fleet and prints a row of CSV for each kind of job.", ' ', "1");
        TCLAP::ValueArg<std::uint64_t> first("f", "first", "the first seed", false, 1, "SEED", commandLine);
        TCLAP::ValueArg<std::uint64_t> seeds("n", "seeds", "how many seeds", false, 10, "COUNT", commandLine);
        TCLAP::ValueArg<std::string> policy("q", "queue", "the order of waiting jobs", false, "fair-share", "POLICY", commandLine);
        TCLAP::SwitchArg keep("", "keep-hopeless", "refuse nothing that cannot be served in time", commandLine);
        std::vector<std::string> mixes {"mixed", "worst-load", "burst", "none"};
        TCLAP::ValuesConstraint<std::string> knownMixes(mixes);
        TCLAP::ValueArg<std::string> faults("t", "troubles", "what goes wrong", false, "mixed", &knownMixes, commandLine);
        TCLAP::SwitchArg verbose("v", "verbose", "print the faults of each seed", commandLine);
        commandLine.parse(argc, argv);
        std::printf("seed,policy,kind,asked,in_objective,late,overdue,refused,unanswered,broken\n");
        std::size_t broken = 0;
        for (std::uint64_t seed = first.getValue(); seed < first.getValue() + seeds.getValue(); ++seed) {
            broken += play(seed, policy.getValue(), !keep.getValue(), faults.getValue(), verbose.getValue());
        }
        return broken == 0 ? 0 : 1;
    } catch (const TCLAP::ArgException &error) {
        std::cerr << "anvilcart-emulate: " << error.error() << "\n";
        return 2;
    }
}
