#include "fleet/shutdownsequence.h"

namespace Anvilcart::Fleet
{
namespace
{
/// The balancer sends new connections until two readiness probes in a row, one second apart, have failed.
constexpr Milliseconds BalancerDetectionTime {2300};
/// Remaining jobs are abandoned this long before the platform kills the process.
constexpr Milliseconds AbandonMargin {700};
/// Targets get this long to confirm that the abandoned runs have stopped.
constexpr Milliseconds StopConfirmationTime {350};
/// Covers the delay of a timer on a busy machine.
constexpr Milliseconds LastMomentMargin {100};
} // namespace

void ShutdownSequence::begin(TimePoint now)
{
    if (!hasBegun()) {
        m_begunAt = now;
    }
}

bool ShutdownSequence::hasBegun() const
{
    return m_begunAt != TimePoint();
}

ShutdownStep ShutdownSequence::next(const RemainingWork &work, Duration gracePeriod, TimePoint now)
{
    const auto elapsed = now - m_begunAt;
    if (!hasBegun() || m_ended) {
        return ShutdownStep::Serve;
    }
    if (!m_jobsAbandoned && elapsed > gracePeriod - AbandonMargin) {
        m_jobsAbandoned = true;
        return ShutdownStep::AbandonJobs;
    }
    const bool runsMayEnd = work.nodeIsIdle || elapsed > gracePeriod - AbandonMargin + StopConfirmationTime;
    const bool answered = work.requestsInFlight == 0 && elapsed > BalancerDetectionTime && runsMayEnd;
    m_ended = answered || elapsed > gracePeriod - LastMomentMargin;
    return m_ended ? ShutdownStep::End : ShutdownStep::Serve;
}
} // namespace Anvilcart::Fleet
