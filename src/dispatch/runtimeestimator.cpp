#include "dispatch/runtimeestimator.h"

#include <algorithm>
#include <cmath>

namespace Anvilcart
{
namespace
{
/// A sample weighs at least the inverse of this.
constexpr std::uint32_t Memory = 64;
/// Kinds beyond this many share one estimate, so that callers cannot fill the memory.
constexpr std::size_t MaxKinds = 2000;
/// From this many samples on, a kind's own figures are trusted.
constexpr std::uint32_t EnoughSamples = 5;
constexpr Milliseconds UnknownRunTime {250};
/// An older estimate bounds nothing: else a kind that became fast, and is refused as slow, would never be measured again.
constexpr Seconds TrustPeriod {30};
constexpr double LeastSeconds = 0.0001;

double toSeconds(Duration duration)
{
    return std::max(LeastSeconds, std::chrono::duration<double>(duration).count());
}

Duration toDuration(double seconds)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

/// The mean of a lognormal distribution, and its value one deviation below the median.
RunTimeEstimate fromMoments(const RunningMoments &moments, double scaleSeconds)
{
    const auto expected = scaleSeconds * std::exp(moments.mean() + moments.variance() / 2);
    const auto atLeast = scaleSeconds * std::exp(moments.mean() - std::sqrt(moments.variance()));
    return {toDuration(expected), toDuration(atLeast)};
}

bool isDeclared(const TaskSpec &task)
{
    return task.declaredRunTime.count() > 0;
}
} // namespace

void RunningMoments::add(double sample)
{
    m_count = std::min(m_count + 1, Memory);
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
    auto result = fromKind(task, kindOf(task));
    if (now - kindOf(task).learnedAt > TrustPeriod) {
        result.atLeast = Duration::zero();
    }
    return result;
}

RunTimeEstimate RunTimeEstimator::fromKind(const TaskSpec &task, const Kind &kind)
{
    const bool knowsFactor = isDeclared(task) && kind.logFactor.count() >= EnoughSamples;
    if (knowsFactor && kind.logFactor.variance() < kind.logTime.variance()) {
        return fromMoments(kind.logFactor, toSeconds(task.declaredRunTime));
    }
    if (kind.logTime.count() >= EnoughSamples) {
        return fromMoments(kind.logTime, 1);
    }
    RunTimeEstimate prior;
    prior.expected = isDeclared(task) ? Duration(task.declaredRunTime) : Duration(UnknownRunTime);
    return prior;
}

void RunTimeEstimator::learn(const TaskSpec &task, Duration runTime, TimePoint now)
{
    const auto seconds = toSeconds(runTime);
    const bool known = m_kinds.contains(task.kind) || m_kinds.size() < MaxKinds;
    for (auto *kind : {&m_all, known ? &m_kinds[task.kind] : nullptr}) {
        if (kind == nullptr) {
            continue;
        }
        kind->learnedAt = now;
        kind->logTime.add(std::log(seconds));
        if (isDeclared(task)) {
            kind->logFactor.add(std::log(seconds / toSeconds(task.declaredRunTime)));
        }
    }
}

const RunTimeEstimator::Kind &RunTimeEstimator::kindOf(const TaskSpec &task) const
{
    const auto found = m_kinds.find(task.kind);
    const bool known = found != m_kinds.end() && found->second.logTime.count() >= EnoughSamples;
    return known ? found->second : m_all;
}
} // namespace Anvilcart
