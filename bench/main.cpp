#include "policybench.h"
#include "slopesbench.h"
#include "throughputbench.h"

#include <tclap/CmdLine.h>

#include <string>
#include <vector>

/// Measures what the documents claim: policies under load and faults, throughput and latency of one process, and the slopes of capacity.
int main(int argc, char **argv)
{
    using namespace Anvilcart;
    TCLAP::CmdLine commandLine(
        "Measures policies, throughput and slopes. Example: anvilcart-bench --binaries build --mode policies --load 0.8 --fault none",
        ' ',
        ANVILCART_VERSION);
    std::vector<std::string> modes = {"policies", "throughput", "slopes"};
    TCLAP::ValuesConstraint<std::string> knownModes(modes);
    TCLAP::ValueArg<std::string> binaries("b", "binaries", "the build folder", true, "", "DIR", commandLine);
    TCLAP::ValueArg<std::string> mode("m", "mode", "what to measure", false, "policies", &knownModes, commandLine);
    TCLAP::ValueArg<std::string> policy("p", "policy", "only policies whose name contains this", false, "", "TEXT", commandLine);
    TCLAP::MultiArg<double> loads("l", "load", "only this load", false, "SHARE", commandLine);
    TCLAP::MultiArg<std::string> faults("f", "fault", "only this fault", false, "NAME", commandLine);
    TCLAP::ValueArg<int> time("d", "duration-s", "how long each row sends jobs", false, 10, "SECONDS", commandLine);
    TCLAP::ValueArg<int> seed("r", "seed", "seed of the workload", false, 1, "NUMBER", commandLine);
    TCLAP::ValueArg<std::string> plot("", "plot", "where the plot of slowdown over load goes", false, "", "FILE", commandLine);
    commandLine.parse(argc, argv);
    if (mode.getValue() == "throughput") {
        runThroughputBench(binaries.getValue());
        return 0;
    }
    if (mode.getValue() == "slopes") {
        runSlopesBench(binaries.getValue());
        return 0;
    }
    runPolicyBench(
        {binaries.getValue(), policy.getValue(), loads.getValue(), faults.getValue(), time.getValue(), seed.getValue(), plot.getValue()});
    return 0;
}
