#pragma once

#include "kernel/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Anvilcart::Emulation
{
/// A kind of job that callers submit.
struct JobKind
{
    std::string route;
    double jobsPerSecond = 10;
    std::uint32_t tasks = 2;
    Duration runTime = Milliseconds(100);
    /// Standard deviations of the logarithms of run times and of callers' estimates, which are log-normally distributed.
    double runTimeSigma = 0.4;
    double estimateSigma = 0.4;
    /// The first task of a job takes its run time, the others less by up to this share. With 0, every task takes 0.85 of the run time.
    double taskSpread = 0;
    std::int64_t milliCores = 14000;
    std::int64_t priority = 0;
    double stretchFactor = 1.6;
    Duration targetLatency = Milliseconds(60);
    /// Callers wait for callerTimeout plus callerTimeoutObjectives times the latency objective of their job.
    Duration callerTimeout = Milliseconds(1500);
    double callerTimeoutObjectives = 0;
    /// Each job has one of these data racks, drawn with equal shares; none when empty.
    std::vector<std::string> dataRacks;
    bool rackLocal = false;
};
} // namespace Anvilcart::Emulation
