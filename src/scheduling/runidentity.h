#pragma once

#include "workload/targetcalls.h"

#include <cstdint>
#include <string>

namespace Anvilcart::Fleet
{
/// Identifies one run in the whole fleet: its name, the target, and the life of that target. The name alone is not enough, since targets
/// name tasks by the ids of jobs, which callers of different queues choose independently.
using RunIdentity = std::uint64_t;

/// Two runs have the same identity with a chance of 2^-64. startedAtMs is the start of the target's life, in milliseconds since 1970; 0
/// when unknown. Thread-safe.
RunIdentity identityOf(const RunName &run, const std::string &target, std::int64_t startedAtMs);
} // namespace Anvilcart::Fleet
