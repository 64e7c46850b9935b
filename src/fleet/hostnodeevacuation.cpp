#include "fleet/hostnode.h"

#include "scheduling/placementchoice.h"

#include <algorithm>
#include <utility>

// HostNode's handling of evacuations: what the store and peers say of them, and where callers' jobs may still go.
namespace Anvilcart::Fleet
{
namespace
{
/// When the operator ends an evacuation is not known. Callers of jobs that no zone may run are asked to come again after this time.
constexpr Seconds EvacuationRetryDelay {5};
} // namespace

void HostNode::onEvacuations(EvacuationRead read, TimePoint now)
{
    beginEvent(now);
    const auto before = m_evacuation;
    m_evacuation.onStoreView(std::move(read), now);
    applyEvacuation(before, true, now);
}

void HostNode::onEvacuationsLost(TimePoint now)
{
    beginEvent(now);
    m_evacuation.onStoreLost();
}

void HostNode::onPeerEvacuation(const EvacuationView &view, bool wasHeldUp, TimePoint now)
{
    const auto before = m_evacuation;
    if (m_evacuation.onPeerView(view, wasHeldUp, now)) {
        applyEvacuation(before, false, now);
    } else {
        m_scheduler.setEvacuationKnown(m_evacuation.isKnown(now), now);
    }
}

void HostNode::applyEvacuation(const EvacuationState &before, bool byStore, TimePoint now)
{
    const auto zonesBefore = before.view().value_or(EvacuationView()).zones;
    const auto zones = m_evacuation.view().value_or(EvacuationView()).zones;
    if (zones != zonesBefore) {
        for (const auto &zone : zones) {
            if (!zonesBefore.contains(zone)) {
                m_observer.onEvacuationChanged(zone, true, byStore, zones.size());
            }
        }
        for (const auto &zone : zonesBefore) {
            if (!zones.contains(zone)) {
                m_observer.onEvacuationChanged(zone, false, byStore, zones.size());
            }
        }
        // Jobs are redirected by the loads of the others.
        updatePeerLoads(now);
        m_scheduler.setEvacuatedZones(zones, before.storeReadAt(), now);
        // Peers that cannot read the store learn of it, and of the changed load.
        m_reportsDue = true;
    }
    m_scheduler.setEvacuationKnown(m_evacuation.isKnown(now), now);
    processSchedulerEvents(now);
}

bool HostNode::isEvacuated(const std::string &zone) const
{
    // The pool of all zones has no name.
    return !zone.empty() && m_evacuation.view() && m_evacuation.view()->zones.contains(zone);
}

/// True for a dispatcher all of whose pools are in evacuated zones. It stays their owner, so that running work is renewed and ended.
bool HostNode::isEvacuated(const std::vector<PoolClaim> &claims) const
{
    const auto isOpen = [this](const PoolClaim &claim) {
        return !claim.yielding && !isEvacuated(claim.pool.zone);
    };
    const bool isActive = m_evacuation.view() && !m_evacuation.view()->zones.empty();
    return isActive && !claims.empty() && std::none_of(claims.begin(), claims.end(), isOpen);
}

/// True when a step of the job fits only targets in evacuated zones.
bool HostNode::needsEvacuatedZone(const JobSubmission &submission) const
{
    if (!m_evacuation.view() || m_evacuation.view()->zones.empty()) {
        return false;
    }
    const auto &steps = submission.request.steps;
    return std::any_of(steps.begin(), steps.end(), [&](const StepRequest &step) {
        bool fitsInEvacuatedZone = false;
        for (const auto &[id, entry] : m_targets) {
            if (entry.service == submission.service && fitsWhenEmpty(entry, step.demand, step.requiredLabel)) {
                if (!isEvacuated(entry.zone)) {
                    return false;
                }
                fitsInEvacuatedZone = true;
            }
        }
        return fitsInEvacuatedZone;
    });
}

std::vector<PoolClaim> HostNode::ownClaims() const
{
    std::vector<PoolClaim> claims;
    for (const auto &[pool, claim] : m_assignment.self().claims) {
        claims.push_back(claim);
    }
    return claims;
}

/// Refuses a job that no dispatcher has, at once, while only targets in evacuated zones could run it.
bool HostNode::refuseIfEvacuated(EntryJob &job, TimePoint now)
{
    if (!job.dispatcher.empty() || !needsEvacuatedZone(job.submission)) {
        return false;
    }
    CallerReply reply;
    reply.answer = answerForUnstarted(job, now);
    reply.reason = toName(JobEndReason::Evacuated);
    reply.retryAfter = EvacuationRetryDelay;
    answer(std::string(job.submission.request.id), reply, now);
    return true;
}

/// The reason as the entry host understands it: hosts of versions without evacuations, which report none, drop results with reasons that
/// they do not know.
JobEndReason HostNode::reasonFor(const std::string &entryHost, JobEndReason reason) const
{
    const auto *member = m_view.find(entryHost);
    const bool isUnknownThere = reason == JobEndReason::Evacuated && (member == nullptr || !member->report.evacuation);
    return isUnknownThere ? JobEndReason::NoTargets : reason;
}
} // namespace Anvilcart::Fleet
