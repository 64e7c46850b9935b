#include "policybench.h"

#include "plot.h"
#include "site/measure.h"
#include "site/site.h"

#include <array>
#include <cstdio>
#include <thread>

namespace Anvilcart
{
namespace
{
/// One policy to be compared.
struct Policy
{
    const char *name;
    const char *queueOrder;
    const char *slotSharing;
};

constexpr std::array Policies = {
    Policy {"fifo, fixed shares", "fifo", "fixed_shares"},
    Policy {"fewest unstarted first, fixed shares", "fewest_unstarted_first", "fixed_shares"},
    Policy {"fewest unstarted first, loans", "fewest_unstarted_first", "loans"},
    Policy {"fewest unstarted first, blind push", "fewest_unstarted_first", "blind_push"},
};

const std::vector<double> AllLoads = {0.5, 0.8, 0.95, 1.5};
const std::vector<std::string> AllFaults = {"none", "killed_target", "failing_target", "stragglers", "killed_entry_host", "cut_zone"};
constexpr int StragglerFactor = 10;
/// A quarter of the run.
constexpr int FaultAfterShareMs = 250;
constexpr std::chrono::microseconds ClientDelay {1000};

/// Injects a fault into the first zone; the callers run meanwhile.
void inject(Site &site, const std::string &fault, int seconds)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(seconds * FaultAfterShareMs));
    const auto target = site.targetName(0, 0);
    if (fault == "killed_target") {
        site.setTargetFault(target, "dead");
    } else if (fault == "failing_target") {
        site.setTargetFault(target, "fail");
    } else if (fault == "stragglers") {
        site.setTargetFault(target, "slow", StragglerFactor);
    } else if (fault == "killed_entry_host") {
        site.entryHost(0, 0).kill();
    } else if (fault == "cut_zone") {
        site.controlPlatform(R"({"cut_zones":[1]})");
    }
}

RunFigures run(const Policy &policy, double load, const std::string &fault, const PolicyBenchOptions &options)
{
    auto siteOptions = societyOptions();
    siteOptions.queueOrder = policy.queueOrder;
    siteOptions.slotSharing = policy.slotSharing;
    Site site(siteOptions, options.binaries);
    return measure(site, {load, options.seconds, options.seed, ClientDelay}, [&] {
        inject(site, fault, options.seconds);
    });
}

void printHeader(int seed)
{
    std::printf("seed %d\n", seed);
    std::printf("%-36s %4s %-17s %5s %5s %5s %5s %7s %6s %7s %6s %7s %7s %6s %6s %7s\n",
                "policy",
                "load",
                "fault",
                "jobs",
                "whole",
                "fail",
                "n.run",
                "mean",
                "p50",
                "p99",
                "ratio",
                "wasted",
                "good/s",
                "loans",
                "frames",
                "bytes/s");
}

void printRow(const Policy &policy, double load, const std::string &fault, const RunFigures &figures, double baseline)
{
    std::printf("%-36s %4.2f %-17s %5lu %5lu %5lu %5lu %7.2f %6.2f %7.2f %6.3f %7.4f %7.0f %6.3f %6.3f %7.0f\n",
                policy.name,
                load,
                fault.c_str(),
                figures.jobs,
                figures.whole,
                figures.failed + figures.unanswered,
                figures.notRun + figures.notSent,
                figures.meanSlowdown,
                figures.p50Slowdown,
                figures.p99Slowdown,
                figures.meanSlowdown / baseline,
                figures.wastedPerTask,
                figures.wholeTasksPerSecond,
                figures.loansPerTask,
                figures.peerFramesPerTask,
                figures.peerBytesPerHostSecond);
    if (figures.doubleStarts + figures.untrueNotRun + figures.wrong > 0) {
        std::printf("BROKEN PROMISE: %lu second starts, %lu untrue not run, %lu wrong answers\n",
                    figures.doubleStarts,
                    figures.untrueNotRun,
                    figures.wrong);
    }
    std::fflush(stdout);
}
} // namespace

void runPolicyBench(const PolicyBenchOptions &options)
{
    Plot plot("mean slowdown over load, no fault");
    printHeader(options.seed);
    for (const auto &fault : options.faults.empty() ? AllFaults : options.faults) {
        for (const auto load : options.loads.empty() ? AllLoads : options.loads) {
            double baseline = 0;
            for (const auto &policy : Policies) {
                if (std::string(policy.name).find(options.policy) == std::string::npos) {
                    continue;
                }
                const auto figures = run(policy, load, fault, options);
                baseline = baseline == 0 ? figures.meanSlowdown : baseline;
                printRow(policy, load, fault, figures, baseline);
                if (fault == "none") {
                    plot.add(policy.name, load, figures.meanSlowdown);
                }
            }
        }
    }
    if (!options.plotFile.empty()) {
        plot.write(options.plotFile);
    }
}
} // namespace Anvilcart
