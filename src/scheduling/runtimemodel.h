#pragma once

#include "kernel/time.h"

#include <cstdint>
#include <string>
#include <unordered_map>

namespace Anvilcart::Fleet
{
/// Forecasts run times with a regression, for each route, of actual run times on callers' estimates. Estimates are off by 40% and more,
/// so a high estimate is partly due to a high run time and partly to an error; the regression separates the two. Not thread-safe.
class RunTimeModel
{
public:
    /// The expected run time on a target of ordinary speed. An estimate of 0 means that the job declared none.
    Duration forecast(const std::string &route, Duration estimate) const;

    /// The expected ratio of the slowest to the mean run time of this many tasks of one job. A job ends only with its slowest task.
    double slowestTaskFactor(const std::string &route, std::size_t tasks) const;

    /// Records that a task took ratio times the mean run time of its job's tasks, after correction for the speeds of the targets.
    void onTaskRatio(const std::string &route, double ratio);

    /// Records a successful run on a target that is slowness times slower than an ordinary one.
    void onRun(const std::string &route, Duration estimate, Duration runTime, double slowness);

private:
    /// Moments of the logarithms of estimates and run times in milliseconds.
    struct RouteHistory
    {
        double meanEstimate = 0;
        double meanRunTime = 0;
        double variance = 0;
        double covariance = 0;
        std::uint64_t runs = 0;
    };

    std::unordered_map<std::string, RouteHistory> m_routes;
    /// For each route, the variance of the ratio between a task's run time and the mean of its job.
    std::unordered_map<std::string, double> m_taskVarianceOfRoute;
};
} // namespace Anvilcart::Fleet
