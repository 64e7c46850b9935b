#pragma once

#include "kernel/time.h"
#include "model/endpoint.h"
#include "workload/resources.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Anvilcart::Fleet
{
/// A target's registration record.
struct TargetEntry
{
    std::string id;
    std::string service;
    Endpoint endpoint;
    std::string zone;
    std::vector<std::string> labels;
    /// The label that names its rack; empty when it has none.
    std::string rack;
    Resources capacity;
    /// The target shuts down soon and must not receive new tasks.
    bool draining = false;
    /// Start time in milliseconds since 1970, 0 when unknown. Distinguishes incarnations of a target.
    std::int64_t startedAtMs = 0;
    /// How much longer the target stays slow after its start, as of its last registration.
    Milliseconds coldRemaining {0};

    bool operator==(const TargetEntry &) const = default;
};
} // namespace Anvilcart::Fleet
