#pragma once

#include "dispatch/jobtable.h"
#include "dispatch/runtimeestimator.h"

#include <cstdint>
#include <vector>

namespace Anvilcart
{
/// What the run times of a job's tasks, as far as they are learned, say of the whole job.
struct JobForecast
{
    std::vector<RunTimeEstimate> tasks;
    /// The work and the longest task of learned kinds; unlearned kinds count nothing, so that a wrong declaration refuses no job.
    Duration learnedWork {};
    Duration longestTask {};
};

/// Looks up every task of a job. Not thread-safe: the estimator's.
JobForecast forecast(const JobSpec &job, const RunTimeEstimator &estimator, TimePoint now);

/// Gives a new job its estimates and puts its longest tasks first; equal ones stay in the caller's order.
void applyForecast(JobRecord &job, const JobForecast &forecast);

/// When the deadline becomes unreachable even with so many slots, unless more tasks have started by then.
TimePoint latestStart(const JobRecord &job, std::uint32_t slots);
} // namespace Anvilcart
