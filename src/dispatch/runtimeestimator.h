#pragma once

#include "kernel/time.h"
#include "model/job.h"

#include <array>
#include <string>
#include <unordered_map>

namespace Anvilcart
{
/// A mean and a variance that are learned from a stream: plain at first, exponentially weighted later.
class RunningMoments
{
public:
    /// Takes in one sample.
    void add(double sample);

    double mean() const;
    double variance() const;
    std::uint32_t count() const;

private:
    double m_mean = 0;
    double m_variance = 0;
    std::uint32_t m_count = 0;
};

/// What a task is expected to take.
struct RunTimeEstimate
{
    /// The expected value.
    Duration expected {};
    /// A bound that most such tasks exceed; zero until enough tasks of the kind have ended, and when none has ended lately.
    Duration atLeast {};
};

/// Learns the run times of each task kind. The declared time is only a prior: what decides is either the kind's measured time or its
/// measured factor over the declared one, whichever varies less. Not thread-safe: the decision loop's.
class RunTimeEstimator
{
public:
    /// What the task is expected to take.
    RunTimeEstimate estimate(const TaskSpec &task, TimePoint now) const;

    /// A task ran to its end in this time.
    void learn(const TaskSpec &task, Duration runTime, TimePoint now);

private:
    /// The logarithms of run times, and of run times over declared ones.
    struct Kind
    {
        RunningMoments logTime;
        RunningMoments logFactor;
        TimePoint learnedAt;
    };

    static RunTimeEstimate fromKind(const TaskSpec &task, const Kind &kind);
    const Kind &kindOf(const TaskSpec &task) const;

    std::unordered_map<std::string, Kind> m_kinds;
    Kind m_all;
};
} // namespace Anvilcart
