#pragma once

#include <string>

namespace Anvilcart
{
/// Measures one entry process against instant targets: starts a second, processor time a start, and the latency that it adds at
/// light load to a direct call to the target. Prints one line each.
void runThroughputBench(const std::string &binaries);
} // namespace Anvilcart
