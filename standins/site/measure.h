#pragma once

#include "site/site.h"

#include <cstdint>
#include <functional>
#include <string>

namespace Anvilcart
{
/// The figures of one run of callers against a site.
struct RunFigures
{
    std::uint64_t jobs = 0;
    std::uint64_t whole = 0;
    std::uint64_t failed = 0;
    std::uint64_t notRun = 0;
    /// The connection ended after the job was sent.
    std::uint64_t unanswered = 0;
    /// No door took the job.
    std::uint64_t notSent = 0;
    std::uint64_t wrong = 0;
    std::uint64_t doubleStarts = 0;
    std::uint64_t untrueNotRun = 0;
    double meanSlowdown = 0;
    double p50Slowdown = 0;
    double p99Slowdown = 0;
    /// Refused starts, and starts whose output was thrown away because their job was not answered whole, a finished task.
    double wastedPerTask = 0;
    double wholeTasksPerSecond = 0;
    /// Bytes of messages between entry hosts, a host and second.
    double peerBytesPerHostSecond = 0;
    /// Messages between entry hosts a finished task.
    double peerFramesPerTask = 0;
    /// Slots lent a finished task.
    double loansPerTask = 0;
};

/// How the callers of every zone load a site.
struct RunLoad
{
    double load = 0.5;
    int seconds = 10;
    int seed = 1;
    std::chrono::microseconds clientDelay {1000};
};

/// Runs callers in every zone of the site to their end and adds up their reports.
/// The action, if any, runs while the callers send; it injects faults.
RunFigures measure(Site &site, const RunLoad &load, const std::function<void()> &whileRunning = {});
} // namespace Anvilcart
