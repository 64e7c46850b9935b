#pragma once

#include <string>

namespace Anvilcart
{
/// Measures what an entry host's control costs while no job runs, over the number of targets, teams and entry hosts, and its memory
/// over the tasks that wait; three sizes each. docs/CAPACITY.md is worked out from these lines.
void runSlopesBench(const std::string &binaries);
} // namespace Anvilcart
