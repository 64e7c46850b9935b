#pragma once

#include "kernel/time.h"
#include "model/job.h"

#include <array>
#include <string>
#include <unordered_map>

namespace Anvilcart
{
/// Mean and variance of a stream of samples: exact for the first samples, exponentially weighted after that.
class RunningMoments
{
public:
    /// Adds a sample.
    void add(double sample);

    double mean() const;
    double variance() const;
    std::uint32_t count() const;

private:
    double m_mean = 0;
    double m_variance = 0;
    std::uint32_t m_count = 0;
};

/// The expected run time of a task.
struct RunTimeEstimate
{
    /// The expected value.
    Duration expected {};
    /// A lower bound that most tasks of the kind exceed; zero if too few tasks have ended, or none recently.
    Duration lowerBound {};
};

/// Learns the run times of each task kind. The declared run time is only a prior: the estimate uses either the measured run times of the
/// kind or the measured ratios of run time to declared run time, whichever vary less. Not thread-safe: used only on the decision loop.
class RunTimeEstimator
{
public:
    /// Estimates the run time of a task.
    RunTimeEstimate estimate(const TaskSpec &task, TimePoint now) const;

    /// Records the run time of a finished task.
    void learn(const TaskSpec &task, Duration runTime, TimePoint now);

private:
    /// The logarithms of the run times and of the ratios of run time to declared run time.
    struct Kind
    {
        RunningMoments logTime;
        RunningMoments logRatio;
        TimePoint updatedAt;
    };

    static RunTimeEstimate estimateFromKind(const TaskSpec &task, const Kind &kind);
    const Kind &kindOf(const TaskSpec &task) const;

    std::unordered_map<std::string, Kind> m_kinds;
    Kind m_allKinds;
};
} // namespace Anvilcart
