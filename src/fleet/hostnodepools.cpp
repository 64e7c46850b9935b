#include "fleet/hostnode.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

// HostNode's handling of pools and targets: claims, fencing tokens, hand-over. Peers are handled in hostnodepeers.cpp.
namespace Anvilcart::Fleet
{
namespace
{
/// While a pool of another zone has no owner, one of its targets is probed at this interval.
constexpr Milliseconds ProbePeriod {150};
/// A probe without answer counts as a failure only when no other one was answered within this time: single targets may be down.
constexpr Milliseconds ProbeFailureTimeout {400};
/// A pool of another zone is claimed after its targets have answered for this time: after a network partition ends, reports of that
/// zone's own hosts arrive sooner.
constexpr Milliseconds MinReachableTime {500};
/// A target that accepted a higher fencing token is claimed again after a multiple of this time, which grows with each such loss.
constexpr Milliseconds ClaimBackoff {150};
constexpr int MaxClaimBackoffs = 8;
/// A target that was taken over from this host is claimed again after this time, in which reports of the other host arrive once a
/// network partition has ended.
constexpr Milliseconds TakenOverBackoff {800};
/// This many failed claims are retried at once: targets may hold tokens of an earlier fleet that are above the starting value.
constexpr int ImmediateClaimRetries = 3;
/// The starting value of a round is the wall clock in units of this.
constexpr std::int64_t RoundStepMs = 100;
/// The low bits of a token distinguish hosts that chose the same round.
constexpr unsigned TokenSaltBits = 16;
std::string incarnationKey(const std::string &host, std::uint64_t incarnation)
{
    return host + '#' + std::to_string(incarnation);
}
} // namespace

void HostNode::onTargetList(const std::map<std::string, TargetEntry> &entries, bool storeIsFresh, TimePoint now)
{
    beginEvent(now);
    m_targetListReadAt = now;
    m_assignment.self().targetListFailsSince.reset();
    m_scheduler.holdStartsUntil(now);
    if (entries == m_targets) {
        updatePools(now);
        processSchedulerEvents(now);
        return;
    }
    for (const auto &[id, entry] : m_targets) {
        if (!entries.contains(id) && storeIsFresh) {
            m_scheduler.onEntryGone(id);
            if (m_scheduler.ownsTarget(id)) {
                // Its runs are tracked until they end.
                m_removedTargets[id] = entry;
            }
        }
    }
    if (storeIsFresh) {
        m_targets = entries;
    } else {
        for (const auto &[id, entry] : entries) {
            m_targets[id] = entry;
        }
    }
    m_poolPlan = PoolPlan(m_targets);
    for (const auto &[id, entry] : m_targets) {
        m_scheduler.updateTarget(entry);
    }
    updatePools(now);
    processSchedulerEvents(now);
}

void HostNode::onTargetListFailure(TimePoint now)
{
    beginEvent(now);
    auto &failsSince = m_assignment.self().targetListFailsSince;
    const bool wasStale = m_assignment.hasStaleTargets(m_lastTickAt);
    failsSince = failsSince.value_or(now);
    m_scheduler.holdStartsUntil(now);
    if (m_assignment.hasStaleTargets(now) && !wasStale) {
        m_reportsDue = true;
    }
    updatePools(now);
    processSchedulerEvents(now);
}

void HostNode::updatePools(TimePoint now)
{
    m_poolsUpdatedAt = now;
    const auto pools = m_poolPlan.pools();
    for (auto &[pool, claim] : m_assignment.self().claims) {
        claim.ownedTargets = answeringTargetCount(pool) + removedTargetCount(pool);
    }
    for (const auto &[pool, claim] : m_assignment.self().claims) {
        if (!pools.contains(pool) && !claim.yielding) {
            yieldPool(pool, now);
            break;
        }
    }
    m_assignment.startup().setViewComplete(!m_peers.empty() && std::none_of(m_peers.begin(), m_peers.end(), [&](const auto &peer) {
        return m_knownEndpoints.isUnexplored(peer.first, now);
    }));
    const auto decision = m_assignment.decide(pools, m_view, now);
    std::set<PoolName> poolsToProbe;
    for (const auto &pool : decision.claim) {
        const auto probed = m_probedPools.find(pool);
        const bool reachable = probed != m_probedPools.end() && probed->second.reachableSince != TimePoint()
            && now - probed->second.reachableSince >= MinReachableTime;
        if (pool.zone.empty() || pool.zone == m_identity.zone || reachable) {
            claimPool(pool, now);
        } else {
            poolsToProbe.insert(pool);
        }
    }
    probePoolsOfOtherZones(poolsToProbe, now);
    for (const auto &pool : decision.keep) {
        m_assignment.self().claims[pool].yielding = false;
        for (const auto &id : m_poolPlan.targetsOf(pool)) {
            m_scheduler.cancelRetirement(id);
        }
        m_observer.onPoolChanged(pool, "kept", m_assignment.self().claims[pool].round, m_targets.size());
    }
    for (const auto &pool : decision.yield) {
        yieldPool(pool, now);
    }
    claimTargets(now);
    checkTakeovers(now);
}

/// Sends probes to targets of pools of other zones without owner. A probe does not take the target over, since the hosts of a zone that
/// is cut off may still use it.
void HostNode::probePoolsOfOtherZones(const std::set<PoolName> &pools, TimePoint now)
{
    std::erase_if(m_probedPools, [&](const auto &entry) {
        return !pools.contains(entry.first);
    });
    for (const auto &pool : pools) {
        auto &record = m_probedPools[pool];
        if (now < record.nextProbeAt) {
            continue;
        }
        record.nextProbeAt = now + ProbePeriod;
        std::vector<const TargetEntry *> targets;
        for (const auto &id : m_poolPlan.targetsOf(pool)) {
            const auto &entry = m_targets.at(id);
            if (!entry.draining && !m_pendingProbes.contains(id)) {
                targets.push_back(&entry);
            }
        }
        if (!targets.empty()) {
            const auto &target = *targets[record.nextTargetIndex++ % targets.size()];
            m_pendingProbes[target.id] = pool;
            m_port.sendRenewal(target, RenewalRequest());
        }
    }
}

/// True when the reply answers a probe.
bool HostNode::onProbeReply(const std::string &target, const RenewalReply &reply, TimePoint now)
{
    const auto probe = m_pendingProbes.find(target);
    if (probe == m_pendingProbes.end() || reply.sequence != 0) {
        return false;
    }
    const auto record = m_probedPools.find(probe->second);
    m_pendingProbes.erase(probe);
    if (record == m_probedPools.end()) {
        return true;
    }
    auto &[nextProbeAt, reachableSince, lastAnswerAt, nextTargetIndex] = record->second;
    if (reply.result != RequestResult::Unknown && reply.result != RequestResult::NotSent) {
        lastAnswerAt = now;
        reachableSince = reachableSince == TimePoint() ? now : reachableSince;
    } else if (now - lastAnswerAt > ProbeFailureTimeout) {
        reachableSince = TimePoint();
    }
    return true;
}

/// Targets beyond a network partition do not count: of two hosts that claim a pool, the one that reaches more targets keeps it.
std::uint32_t HostNode::answeringTargetCount(const PoolName &pool) const
{
    const auto &targets = m_poolPlan.targetsOf(pool);
    return static_cast<std::uint32_t>(std::count_if(targets.begin(), targets.end(), [this](const std::string &id) {
        return m_scheduler.isAnswering(id);
    }));
}

std::uint32_t HostNode::removedTargetCount(const PoolName &pool) const
{
    return static_cast<std::uint32_t>(std::count_if(m_removedTargets.begin(), m_removedTargets.end(), [&](const auto &entry) {
        return !m_targets.contains(entry.first) && m_poolPlan.poolOf(entry.second) == pool;
    }));
}

bool HostNode::ownsAnyOf(const PoolName &pool) const
{
    const auto &targets = m_poolPlan.targetsOf(pool);
    return std::any_of(targets.begin(), targets.end(), [this](const std::string &id) {
        return m_scheduler.ownsTarget(id);
    });
}

void HostNode::claimPool(const PoolName &pool, TimePoint now)
{
    if (m_highestRound > 0) {
        // Another host may have dispatched to the pool, and only that host knows what it ran.
        m_scheduler.onHistoryLost(now);
    }
    m_highestRound = std::max(m_highestRound + 1, static_cast<std::uint64_t>(m_port.wallClockMs() / RoundStepMs));
    PoolClaim claim;
    claim.pool = pool;
    claim.round = m_highestRound;
    m_assignment.self().claims[pool] = claim;
    m_observer.onPoolChanged(pool, "claimed", claim.round, m_targets.size());
    updatePeerLoads(now);
    m_reportsDue = true;
    if (!m_assignment.self().targetListFailsSince && now - m_targetListReadAt > m_identity.targetListExpiry) {
        // A host without pools reads the list rarely, so that targets may have begun to leave since.
        m_scheduler.holdStartsUntil(now + m_identity.targetListExpiry);
        m_port.refreshTargetList();
    }
}

std::uint64_t HostNode::nextFencingToken(const std::string &target)
{
    const auto losses = m_lostClaimCounts.find(target);
    const auto increment = losses == m_lostClaimCounts.end() ? 0 : std::uint64_t(1) << std::min(losses->second, 20);
    m_highestRound = std::max(m_highestRound + increment, static_cast<std::uint64_t>(1));
    // Requests of the last claim may still be on their way, and must not take effect once the target has accepted this one.
    auto &lastRound = m_lastRoundOf[target];
    m_highestRound = std::max(m_highestRound, lastRound + 1);
    lastRound = m_highestRound;
    const auto key = incarnationKey(m_identity.host, m_identity.incarnation);
    const auto salt = XXH64(key.data(), key.size(), 0) & ((1U << TokenSaltBits) - 1);
    return (m_highestRound << TokenSaltBits) + salt;
}

/// Claims the targets of this host's pools that no other host holds, and retires those of other pools.
void HostNode::claimTargets(TimePoint now)
{
    if (m_assignment.self().claims.empty() && m_scheduler.ownedTargetCount() == 0) {
        return;
    }
    const auto isMine = [this](const PoolName &pool) {
        const auto claim = m_assignment.self().claims.find(pool);
        return claim != m_assignment.self().claims.end() && !claim->second.yielding;
    };
    for (const auto &id : m_scheduler.ownedTargets()) {
        const auto entry = m_targets.find(id);
        if (entry != m_targets.end() && !isMine(m_poolPlan.poolOf(entry->second))) {
            m_scheduler.retireTarget(id);
        }
    }
    std::set<std::string> held;
    for (const auto *member : m_view.liveMembers(now)) {
        for (const auto &claim : member->report.claims) {
            held.insert(claim.heldTargets.begin(), claim.heldTargets.end());
        }
    }
    for (auto &[pool, claim] : m_assignment.self().claims) {
        if (claim.yielding) {
            continue;
        }
        for (const auto &id : m_poolPlan.targetsOf(pool)) {
            const auto nextClaimAt = m_nextClaimAt.find(id);
            const bool mayClaim = nextClaimAt == m_nextClaimAt.end() || now >= nextClaimAt->second;
            if (m_scheduler.ownsTarget(id) || held.contains(id) || !mayClaim) {
                continue;
            }
            const auto token = nextFencingToken(id);
            claim.round = std::max(claim.round, token >> TokenSaltBits);
            m_scheduler.addTarget(m_targets.at(id), token, now);
            // Entry hosts must have confirmed the claim before their jobs may start there.
            m_loadReportsDue = true;
        }
    }
}

void HostNode::yieldPool(const PoolName &pool, TimePoint)
{
    auto &claim = m_assignment.self().claims[pool];
    claim.yielding = true;
    for (const auto &id : m_poolPlan.targetsOf(pool)) {
        m_scheduler.retireTarget(id);
    }
    m_observer.onPoolChanged(pool, "yielded", claim.round, m_targets.size());
    m_reportsDue = true;
}

/// Removes yielding pools whose targets are all released. Redirects waiting jobs when no pool is left but yielding ones.
void HostNode::finishYields(TimePoint now)
{
    auto &claims = m_assignment.self().claims;
    for (auto it = claims.begin(); it != claims.end();) {
        const auto &pool = it->first;
        if (it->second.yielding && !ownsAnyOf(pool)) {
            m_observer.onPoolChanged(pool, "released", it->second.round, 0);
            m_reportsDue = true;
            it = claims.erase(it);
        } else {
            ++it;
        }
    }
    const bool dispatches = std::any_of(claims.begin(), claims.end(), [](const auto &claim) {
        return !claim.second.yielding;
    });
    if (dispatches || m_scheduler.jobCount() == 0) {
        return;
    }
    for (const auto *member : m_view.liveMembers(now)) {
        const bool dispatchesToPool = std::any_of(member->report.claims.begin(), member->report.claims.end(), [](const PoolClaim &claim) {
            return !claim.yielding;
        });
        if (dispatchesToPool && !member->report.leaving) {
            m_scheduler.redirectWaitingJobs(member->report.host, now);
            return;
        }
    }
}

/// True while this host has listed every target of a lost dispatcher, under claims that it made after the last report of that which has
/// reached any entry host of the job. It then knows each run of the jobs that were taken from the dispatcher, and that can start no other:
/// the targets refuse it under the claims that it reported, and it must not start those jobs under later ones (JobGrant::confirmedClaims).
bool HostNode::isTakenOver(const std::string &lostDispatcher, TimePoint now) const
{
    const auto lost = m_lostDispatchers.find(lostDispatcher);
    if (lost == m_lostDispatchers.end() || lost->second.dispatcher.pools.empty()) {
        return false;
    }
    const auto &dispatcher = lost->second.dispatcher;
    if (m_view.isLive(dispatcher.host, dispatcher.incarnation, now)) {
        return false;
    }
    std::uint64_t digest = 0;
    for (const auto &pool : dispatcher.pools) {
        if (successorOf(pool, now) != m_identity.host) {
            return false;
        }
        for (const auto &id : m_poolPlan.targetsOf(pool)) {
            if (!m_scheduler.isListedUnderClaimAfter(id, dispatcher.heardAt)) {
                return false;
            }
            digest += Scheduler::digestOf(id);
        }
    }
    return digest == dispatcher.targetsDigest;
}

void HostNode::checkTakeovers(TimePoint now)
{
    for (const auto &[name, lost] : m_lostDispatchers) {
        if (isTakenOver(name, now)) {
            m_scheduler.onTakeoverComplete(name, now);
        }
    }
}

/// Submits a job to this host's own scheduler.
void HostNode::schedule(JobSubmission submission, TimePoint now)
{
    if (isTakenOver(submission.lostDispatcher, now)) {
        submission.lostDispatcherRunsEndBy = now;
    }
    m_scheduler.submit(namedAtTargets(std::move(submission)), now);
}

void HostNode::onTargetLost(const std::string &target, bool wasOwned)
{
    // A failed first claim is retried at once with a higher token. A target that another host took over is left to it until the two hosts
    // have exchanged reports.
    const auto losses = ++m_lostClaimCounts[target];
    const auto backoffs = std::clamp(losses - ImmediateClaimRetries, 0, MaxClaimBackoffs);
    m_nextClaimAt[target] = m_now + (wasOwned ? Duration(TakenOverBackoff) : Duration(ClaimBackoff * backoffs));
    m_observer.onTargetTakenOver(target, m_highestRound << TokenSaltBits);
    m_takenOverTargets.push_back(target);
}

void HostNode::onTargetRestarted(const std::string &target)
{
    ++m_lostClaimCounts[target];
    m_observer.onTargetTakenOver(target, m_highestRound << TokenSaltBits);
    m_restartedTargets.push_back(target);
}

void HostNode::onTargetReleased(const std::string &target)
{
    m_port.closeTargetConnections(target);
    m_removedTargets.erase(target);
    m_reportsDue = true;
}

const TargetEntry *HostNode::findTargetEntry(const std::string &target) const
{
    const auto listed = m_targets.find(target);
    if (listed != m_targets.end()) {
        return &listed->second;
    }
    const auto removed = m_removedTargets.find(target);
    return removed == m_removedTargets.end() ? nullptr : &removed->second;
}

void HostNode::sendStart(const std::string &target, const StartRequest &request)
{
    if (const auto *entry = findTargetEntry(target)) {
        m_port.sendStart(*entry, request);
    }
}

void HostNode::sendStop(const std::string &target, const StopRequest &request)
{
    if (const auto *entry = findTargetEntry(target)) {
        m_port.sendStop(*entry, request);
    }
}

void HostNode::sendRenewal(const std::string &target, const RenewalRequest &request)
{
    if (const auto *entry = findTargetEntry(target)) {
        m_port.sendRenewal(*entry, request);
    }
}

void HostNode::onStartReply(const std::string &target, const RunName &run, const TargetReply &reply, TimePoint now)
{
    beginEvent(now);
    m_scheduler.onStartReply(target, run, reply, now);
    processSchedulerEvents(now);
}

void HostNode::onStopReply(const std::string &target, const RunName &run, const TargetReply &reply, TimePoint now)
{
    beginEvent(now);
    m_scheduler.onStopReply(target, run, reply, now);
    processSchedulerEvents(now);
}

void HostNode::onRenewalReply(const std::string &target, const RenewalReply &reply, TimePoint now)
{
    beginEvent(now);
    if (onProbeReply(target, reply, now)) {
        updatePools(now);
        return;
    }
    const bool listedBefore = m_scheduler.isListed(target);
    m_scheduler.onRenewalReply(target, reply, now);
    processSchedulerEvents(now);
    if (!listedBefore && m_scheduler.isListed(target)) {
        m_lostClaimCounts.erase(target);
        checkTakeovers(now);
        processSchedulerEvents(now);
    }
}
} // namespace Anvilcart::Fleet
