#pragma once

#include "kernel/time.h"

#include <string>

namespace Anvilcart::Fleet
{
/// Rates the health of one target by the outcome of its runs. Not thread-safe.
class TargetHealthRecord
{
public:
    /// Records a successful run; expected is the run time on a target of ordinary speed.
    void onRunCompleted(Duration expected, Duration runTime, TimePoint now);

    /// Records that a task took ratio times as long here as tasks of the same job would on a target of ordinary speed.
    void onJobComparison(double ratio, TimePoint now);

    /// Records that a run of this job failed. True when the target should be ejected. A failure of a job that also failed on other targets
    /// is not counted.
    bool onRunFailed(const std::string &jobId, bool jobFailedElsewhere);

    /// Excludes the target from new work. Each ejection lasts longer until a run succeeds.
    void eject(TimePoint now);

    /// Raises the slowness when a task that is still running has far exceeded its expected run time.
    void onStillRunning(Duration expected, Duration elapsed, TimePoint now);

    /// True while the target must get no new work.
    bool isEjected(TimePoint now) const;

    /// True after an ejection until a run succeeds; until then the target gets one run at a time.
    bool isOnProbation() const;

    /// The length of the current ejection.
    Duration ejectionDuration() const;

    /// How many times longer runs take here than on a target of ordinary speed. Temporary slowness decays when no runs confirm it.
    double slowness(TimePoint now) const;

private:
    double degradation(TimePoint now) const;

    /// Temporary slowness beyond the target's baseline, as of m_degradationUpdatedAt; decays to 1.
    double m_degradation = 1.0;
    TimePoint m_degradationUpdatedAt;
    /// The lasting slowness of the target, from comparisons within jobs.
    double m_baselineSlowness = 1.0;
    TimePoint m_ejectedUntil;
    Duration m_ejectionDuration {0};
    bool m_probation = false;
    int m_consecutiveFailures = 0;
    std::string m_lastFailedJob;
};
} // namespace Anvilcart::Fleet
