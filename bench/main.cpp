#include "site/measure.h"
#include "site/site.h"

#include <tclap/CmdLine.h>

#include <array>
#include <cstdio>

namespace
{
using namespace Anvilcart;

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
};

constexpr std::array Loads = {0.5, 0.8, 0.95};
constexpr int RunSeconds = 10;
constexpr int Seed = 1;

RunFigures run(const Policy &policy, double load, const std::string &binaries)
{
    auto options = societyOptions();
    options.queueOrder = policy.queueOrder;
    options.slotSharing = policy.slotSharing;
    Site site(options, binaries);
    return measure(site, {load, RunSeconds, Seed, std::chrono::microseconds(1000)});
}
} // namespace

/// Compares policies in one run; every figure is slowdown against the ideal, and the ratio to the first policy.
int main(int argc, char **argv)
{
    TCLAP::CmdLine commandLine("Compares policies at today's size.", ' ', ANVILCART_VERSION);
    TCLAP::ValueArg<std::string> binaries("b", "binaries", "the build folder", true, "", "DIR", commandLine);
    TCLAP::ValueArg<std::string> only("p", "policy", "only policies whose name contains this", false, "", "TEXT", commandLine);
    TCLAP::ValueArg<double> onlyLoad("l", "load", "only this load", false, 0, "SHARE", commandLine);
    commandLine.parse(argc, argv);
    std::printf("%-40s %5s %6s %8s %8s %8s %9s %8s %8s %8s %8s\n",
                "policy",
                "load",
                "jobs",
                "mean",
                "p50",
                "p99",
                "ratio",
                "wasted",
                "loans",
                "frames",
                "bytes/s");
    for (const auto load : Loads) {
        double baseline = 0;
        if (onlyLoad.isSet() && onlyLoad.getValue() != load) {
            continue;
        }
        for (const auto &policy : Policies) {
            if (std::string(policy.name).find(only.getValue()) == std::string::npos) {
                continue;
            }
            const auto figures = run(policy, load, binaries.getValue());
            baseline = baseline == 0 ? figures.meanSlowdown : baseline;
            std::printf("%-40s %5.2f %6lu %8.2f %8.2f %8.2f %9.3f %8.4f %8.3f %8.3f %8.0f\n",
                        policy.name,
                        load,
                        figures.jobs,
                        figures.meanSlowdown,
                        figures.p50Slowdown,
                        figures.p99Slowdown,
                        figures.meanSlowdown / baseline,
                        figures.wastedPerTask,
                        figures.loansPerTask,
                        figures.peerFramesPerTask,
                        figures.peerBytesPerHostSecond);
            std::fflush(stdout);
        }
    }
    return 0;
}
