#include "fleet/hostnode.h"

#include <limits>
#include <utility>

// HostNode's knowledge of whether its callers still wait. A caller that loses its connection sends its job again over another host after
// a while, whether this host has noticed or not.
namespace Anvilcart::Fleet
{
namespace
{
/// The grant for jobs that this host dispatches for its own callers. Its runs have ended LongestRunAfterGrant later, before a caller who
/// left just after the last look at its connection comes again.
constexpr Milliseconds OwnGrantLength {900};
/// How often this host looks at the connections of those callers.
constexpr Milliseconds OwnGrantPeriod {200};
/// Results arrive many at a time; this limits the time that is spent on looks at the callers of one dispatcher's jobs.
constexpr Milliseconds MinLookInterval {100};
} // namespace

bool HostNode::endIfCallerHasGone(const std::string &jobId, TimePoint now)
{
    if (m_port.isCallerConnected(jobId)) {
        return false;
    }
    const auto found = m_jobs.find(jobId);
    if (found != m_jobs.end()) {
        m_observer.onCallerGone(found->second, now - found->second.submission.arrivedAt);
        cancel(jobId, now);
    }
    CallerReply reply;
    reply.reason = "caller_gone";
    m_port.answerCaller(jobId, reply);
    return true;
}

void HostNode::endJobsOfGoneCallers(const std::string &dispatcher, TimePoint now)
{
    std::vector<std::string> ids;
    for (const auto &[id, job] : m_jobs) {
        if (job.dispatcher == dispatcher) {
            ids.push_back(id);
        }
    }
    for (const auto &id : ids) {
        endIfCallerHasGone(id, now);
    }
}

bool HostNode::seeCallersOf(const FleetFrame &frame, TimePoint now)
{
    auto &seenAt = m_callersSeenAt[frame.host];
    if (!frame.report && !frame.requestsGrant && now - seenAt < MinLookInterval) {
        return false;
    }
    seenAt = now;
    endJobsOfGoneCallers(frame.host, now);
    return true;
}

void HostNode::renewOwnGrant(TimePoint now)
{
    if (now - m_ownGrantRenewedAt < OwnGrantPeriod) {
        return;
    }
    m_ownGrantRenewedAt = now;
    endJobsOfGoneCallers(m_identity.host, now);
    // This host knows of all its claims.
    constexpr auto AllClaims = std::numeric_limits<std::uint64_t>::max();
    m_scheduler.onGrant(
        m_identity.host, m_identity.incarnation, {OwnGrantEpoch, now + OwnGrantLength, AllClaims, m_identity.incarnation}, now);
}
} // namespace Anvilcart::Fleet
