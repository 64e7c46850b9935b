#pragma once

#include "kernel/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Anvilcart::Fleet
{
/// A queue that callers submit to, and how its jobs are to be run.
struct Route
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    /// The pool of targets that runs its tasks.
    std::string service;
    /// 0 comes first.
    std::int64_t priority = 0;
    /// A task that failed so often fails its job.
    std::uint32_t maxAttempts = 1;
    /// Stands in for the limit of callers that tell none; 0 means none.
    Milliseconds timeout {0};
    /// The objective is stretchFactor times the job's longest chain of work, and targetLatency more.
    double stretchFactor = 1.0;
    Milliseconds targetLatency {0};
    /// Starts need a permit of an advisor, which is not supported.
    bool needsAdvice = false;
};

/// Bounds of the callers' door.
struct DoorLimits
{
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 256 * 1024;
    Milliseconds headerTime {3000};
    Milliseconds idleTime {15000};
};

/// One version of what the operator published.
struct PublishedConfiguration
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    DoorLimits limits;
};
} // namespace Anvilcart::Fleet
