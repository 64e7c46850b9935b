#pragma once

#include "dispatch/jobtable.h"
#include "dispatch/runtimeestimator.h"

#include <cstdint>
#include <vector>

namespace Anvilcart
{
/// The expected run times of a job, from the learned run times of its tasks.
struct JobForecast
{
    std::vector<RunTimeEstimate> tasks;
    /// The work and the longest task, counting only learned kinds, so that no job is refused because of a wrong declared run time.
    Duration learnedWork {};
    Duration longestTask {};
};

/// Estimates every task of a job. Not thread-safe: reads the estimator.
JobForecast forecast(const JobSpec &job, const RunTimeEstimator &estimator, TimePoint now);

/// Stores the estimates in a new job and moves its longest tasks to the front; tasks of equal length keep the caller's order.
void applyForecast(JobRecord &job, const JobForecast &forecast);

/// When the deadline becomes unreachable with this number of slots unless more tasks have started by then.
TimePoint latestStart(const JobRecord &job, std::uint32_t slots);
} // namespace Anvilcart
