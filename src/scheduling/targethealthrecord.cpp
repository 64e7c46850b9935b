#include "scheduling/targethealthrecord.h"

#include <algorithm>
#include <cmath>

namespace Anvilcart::Fleet
{
namespace
{
/// Consecutive jobs whose run failed only here: one may be at fault itself, but two in a row are rare on healthy targets.
constexpr int FailuresToEject = 2;
/// First ejection: long compared with a run, short compared with the faults that the users list, which last seconds.
constexpr Seconds MinEjection {1};
constexpr Seconds MaxEjection {8};
/// Weight of a run of ordinary length on a degraded target: three of them show that it has recovered.
constexpr double RecoveryWeight = 0.3;
/// Degradation below this cannot be distinguished from errors in the callers' estimates.
constexpr double MinDegradation = 1.3;
/// Weight of one comparison within a job. Tasks of one job differ by about 15%, which this averages to 4%.
constexpr double BaselineWeight = 0.1;
constexpr double MaxBaselineSlowness = 3;
/// A single run slower than this marks the target as slow.
constexpr double SlowRunRatio = 2.5;
constexpr double SlowRunWeight = 0.5;
/// Time constant with which a target's degradation decays to 1, so that the target is tried again.
constexpr Seconds DegradationDecay {5};
constexpr double MaxSlowness = 10;
constexpr double MinSlowness = 0.5;
} // namespace

void TargetHealthRecord::onRunCompleted(Duration expected, Duration runTime, TimePoint now)
{
    m_consecutiveFailures = 0;
    m_lastFailedJob.clear();
    m_probation = false;
    m_ejectionDuration = Duration(0);
    const double ratio =
        std::clamp(toMilliseconds(runTime) / std::max(1.0, toMilliseconds(expected)), MinSlowness, MaxSlowness) / m_baselineSlowness;
    if (ratio <= SlowRunRatio && degradation(now) <= MinDegradation) {
        return;
    }
    const double weight = ratio > SlowRunRatio ? SlowRunWeight : RecoveryWeight;
    m_degradation = std::max(1.0, degradation(now) + weight * (ratio - degradation(now)));
    m_degradationUpdatedAt = now;
}

void TargetHealthRecord::onJobComparison(double ratio, TimePoint)
{
    m_baselineSlowness = std::clamp(m_baselineSlowness + BaselineWeight * (ratio - m_baselineSlowness), MinSlowness, MaxBaselineSlowness);
}

bool TargetHealthRecord::onRunFailed(const std::string &jobId, bool jobFailedElsewhere)
{
    if (jobFailedElsewhere || jobId == m_lastFailedJob) {
        return false;
    }
    m_lastFailedJob = jobId;
    return ++m_consecutiveFailures >= FailuresToEject || m_probation;
}

void TargetHealthRecord::eject(TimePoint now)
{
    if (isEjected(now)) {
        return;
    }
    m_ejectionDuration = std::clamp<Duration>(m_ejectionDuration * 2, MinEjection, MaxEjection);
    m_ejectedUntil = now + m_ejectionDuration;
    m_probation = true;
}

void TargetHealthRecord::onStillRunning(Duration expected, Duration elapsed, TimePoint now)
{
    const double ratio = std::min(toMilliseconds(elapsed) / std::max(1.0, toMilliseconds(expected)), MaxSlowness) / m_baselineSlowness;
    if (ratio > SlowRunRatio && ratio > degradation(now)) {
        m_degradation = degradation(now) + SlowRunWeight * (ratio - degradation(now));
        m_degradationUpdatedAt = now;
    }
}

bool TargetHealthRecord::isEjected(TimePoint now) const
{
    return now < m_ejectedUntil;
}

bool TargetHealthRecord::isOnProbation() const
{
    return m_probation;
}

Duration TargetHealthRecord::ejectionDuration() const
{
    return m_ejectionDuration;
}

double TargetHealthRecord::slowness(TimePoint now) const
{
    return m_baselineSlowness * degradation(now);
}

double TargetHealthRecord::degradation(TimePoint now) const
{
    if (m_degradation <= 1.0) {
        return 1.0;
    }
    const double age = toMilliseconds(now - m_degradationUpdatedAt) / toMilliseconds(DegradationDecay);
    return 1.0 + (m_degradation - 1.0) * std::exp(-age);
}
} // namespace Anvilcart::Fleet
