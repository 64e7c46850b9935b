#include "scheduling/runtimemodel.h"

#include <algorithm>
#include <cmath>

namespace Anvilcart::Fleet
{
namespace
{
/// Weight of a new run once a route has a history: averages over about 50 runs, a second or two of one route's traffic.
constexpr double RunWeight = 0.02;
/// Assumed until the first run of a route whose jobs declare no estimate.
constexpr double DefaultRunTimeMs = 100;
/// Lower bound of run times and estimates.
constexpr double MinDurationMs = 1;
/// Assumed standard deviation of run times within a job, relative to their mean, until it is learned.
constexpr double DefaultDeviation = 0.15;
/// Greater deviations are clamped, because they are more likely due to the target than to the task.
constexpr double MaxDeviation = 0.6;
/// With fewer runs or less variance among the estimates, the estimate is only scaled by the mean ratio.
constexpr std::uint64_t MinRunsForSlope = 20;
constexpr double MinVarianceForSlope = 0.005;

Duration fromMilliseconds(double milliseconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(milliseconds));
}

double logMilliseconds(double milliseconds)
{
    return std::log(std::max(MinDurationMs, milliseconds));
}
} // namespace

Duration RunTimeModel::forecast(const std::string &route, Duration estimate) const
{
    const auto found = m_routes.find(route);
    if (found == m_routes.end()) {
        return estimate > Duration(0) ? estimate : fromMilliseconds(DefaultRunTimeMs);
    }
    const auto &history = found->second;
    if (estimate <= Duration(0)) {
        return fromMilliseconds(std::exp(history.meanRunTime));
    }
    const bool knowsSlope = history.runs >= MinRunsForSlope && history.variance > MinVarianceForSlope;
    const double slope = knowsSlope ? std::clamp(history.covariance / history.variance, 0.0, 1.0) : 1.0;
    return fromMilliseconds(std::exp(history.meanRunTime + slope * (logMilliseconds(toMilliseconds(estimate)) - history.meanEstimate)));
}

double RunTimeModel::slowestTaskFactor(const std::string &route, std::size_t tasks) const
{
    const auto found = m_taskVarianceOfRoute.find(route);
    const double deviation = std::sqrt(found == m_taskVarianceOfRoute.end() ? DefaultDeviation * DefaultDeviation : found->second);
    // Expected maximum of normal variables by Blom's approximation, which is within a few per cent for up to some hundred tasks.
    const double share = (static_cast<double>(tasks) - 0.375) / (static_cast<double>(tasks) + 0.25);
    const double quantile = tasks < 2 ? 0 : 4.91 * (std::pow(share, 0.14) - std::pow(1 - share, 0.14));
    return 1 + deviation * quantile;
}

void RunTimeModel::onTaskRatio(const std::string &route, double ratio)
{
    auto &variance = m_taskVarianceOfRoute.try_emplace(route, DefaultDeviation * DefaultDeviation).first->second;
    const double difference = std::clamp(ratio - 1, -MaxDeviation, MaxDeviation);
    variance += RunWeight * (difference * difference - variance);
}

void RunTimeModel::onRun(const std::string &route, Duration estimate, Duration runTime, double slowness)
{
    auto &history = m_routes[route];
    const double actual = logMilliseconds(toMilliseconds(runTime) / std::max(slowness, 0.1));
    const double estimated = logMilliseconds(estimate > Duration(0) ? toMilliseconds(estimate) : toMilliseconds(runTime));
    const double weight = std::max(RunWeight, 1.0 / static_cast<double>(++history.runs));
    const double estimateDelta = estimated - history.meanEstimate;
    const double runTimeDelta = actual - history.meanRunTime;
    history.meanEstimate += weight * estimateDelta;
    history.meanRunTime += weight * runTimeDelta;
    history.variance = (1 - weight) * (history.variance + weight * estimateDelta * estimateDelta);
    history.covariance = (1 - weight) * (history.covariance + weight * estimateDelta * runTimeDelta);
}
} // namespace Anvilcart::Fleet
