#include "dispatch/runtimeestimator.h"

#include <algorithm>
#include <cmath>

namespace Anvilcart
{
namespace
{
/// The weight of a new sample is never less than the inverse of this.
constexpr std::uint32_t MaxSampleCount = 64;
/// Any kinds beyond this number share one estimate, so that callers cannot exhaust the memory.
constexpr std::size_t MaxKinds = 2000;
/// The number of samples from which a kind's own measurements are used.
constexpr std::uint32_t MinSamples = 5;
constexpr Milliseconds DefaultRunTime {250};
/// The lower bound of an older estimate is ignored: otherwise a kind that has become faster but is still refused as too slow would
/// never be measured again.
constexpr Seconds LowerBoundLifetime {30};
constexpr double MinSeconds = 0.0001;

double toSeconds(Duration duration)
{
    return std::max(MinSeconds, std::chrono::duration<double>(duration).count());
}

Duration toDuration(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

/// Returns the mean of a lognormal distribution and, as the lower bound, its value one standard deviation below the median.
RunTimeEstimate estimateFromMoments(const RunningMoments &moments, double scaleSeconds)
{
    const auto expected = scaleSeconds * std::exp(moments.mean() + moments.variance() / 2);
    const auto lowerBound = scaleSeconds * std::exp(moments.mean() - std::sqrt(moments.variance()));
    return {toDuration(expected), toDuration(lowerBound)};
}

bool isDeclared(const TaskSpec &task)
{
    return task.declaredRunTime.count() > 0;
}
} // namespace

void RunningMoments::add(double sample)
{
    m_count = std::min(m_count + 1, MaxSampleCount);
    const double weight = 1.0 / m_count;
    const double change = sample - m_mean;
    m_mean += weight * change;
    m_variance = (1 - weight) * (m_variance + weight * change * change);
}

double RunningMoments::mean() const
{
    return m_mean;
}

double RunningMoments::variance() const
{
    return m_variance;
}

std::uint32_t RunningMoments::count() const
{
    return m_count;
}

RunTimeEstimate RunTimeEstimator::estimate(const TaskSpec &task, TimePoint now) const
{
    auto result = estimateFromKind(task, kindOf(task));
    if (now - kindOf(task).updatedAt > LowerBoundLifetime) {
        result.lowerBound = Duration::zero();
    }
    return result;
}

RunTimeEstimate RunTimeEstimator::estimateFromKind(const TaskSpec &task, const Kind &kind)
{
    const bool ratioIsLearned = isDeclared(task) && kind.logRatio.count() >= MinSamples;
    if (ratioIsLearned && kind.logRatio.variance() < kind.logTime.variance()) {
        return estimateFromMoments(kind.logRatio, toSeconds(task.declaredRunTime));
    }
    if (kind.logTime.count() >= MinSamples) {
        return estimateFromMoments(kind.logTime, 1);
    }
    RunTimeEstimate prior;
    prior.expected = isDeclared(task) ? Duration(task.declaredRunTime) : Duration(DefaultRunTime);
    return prior;
}

void RunTimeEstimator::learn(const TaskSpec &task, Duration runTime, TimePoint now)
{
    const auto seconds = toSeconds(runTime);
    const bool known = m_kinds.contains(task.kind) || m_kinds.size() < MaxKinds;
    for (auto *kind : {&m_allKinds, known ? &m_kinds[task.kind] : nullptr}) {
        if (kind == nullptr) {
            continue;
        }
        kind->updatedAt = now;
        kind->logTime.add(std::log(seconds));
        if (isDeclared(task)) {
            kind->logRatio.add(std::log(seconds / toSeconds(task.declaredRunTime)));
        }
    }
}

const RunTimeEstimator::Kind &RunTimeEstimator::kindOf(const TaskSpec &task) const
{
    const auto found = m_kinds.find(task.kind);
    const bool known = found != m_kinds.end() && found->second.logTime.count() >= MinSamples;
    return known ? found->second : m_allKinds;
}
} // namespace Anvilcart
