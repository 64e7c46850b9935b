#pragma once

#include <string>
#include <vector>

namespace Anvilcart
{
/// Which rows of the policy bench are run; an empty list means all.
struct PolicyBenchOptions
{
    std::string binaries;
    std::string policy;
    std::vector<double> loads;
    std::vector<std::string> faults;
    int seconds = 10;
    int seed = 1;
    /// Where the plot of slowdown over load goes; none when empty.
    std::string plotFile;
};

/// Compares the policies at today's size; prints one row for each policy, load and fault, with the ratio to the first policy.
void runPolicyBench(const PolicyBenchOptions &options);
} // namespace Anvilcart
