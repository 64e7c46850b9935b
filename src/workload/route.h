#pragma once

#include "kernel/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Anvilcart::Fleet
{
/// A queue that callers submit jobs to, with the settings for running them.
struct Route
{
    std::string name;
    std::string host;
    std::string pathPrefix;
    /// The pool of targets that runs its tasks.
    std::string service;
    /// 0 is the highest priority.
    std::int64_t priority = 0;
    /// A job fails when one of its tasks has failed this many times.
    std::uint32_t maxAttempts = 1;
    /// Default for callers that send no timeout; 0 means no timeout.
    Milliseconds timeout {0};
    /// The latency objective is stretchFactor times the job's critical path, plus targetLatency.
    double stretchFactor = 1.0;
    Milliseconds targetLatency {0};
    /// Task starts need the approval of a placement advisor, which is not supported.
    bool needsPlacementAdvisor = false;
};

/// HTTP limits of the caller endpoint.
struct CallerHttpLimits
{
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 256 * 1024;
    Milliseconds headerTimeout {3000};
    Milliseconds idleTimeout {15000};
};

/// One version of the configuration that the operator published.
struct PublishedConfiguration
{
    std::uint64_t version = 0;
    std::vector<Route> routes;
    CallerHttpLimits limits;
};
} // namespace Anvilcart::Fleet
