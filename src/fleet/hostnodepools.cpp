#include "fleet/hostnode.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

// Pools and targets of a host: claims, tokens, hand-over. Other hosts are in hostnodepeers.cpp.
namespace Anvilcart::Fleet
{
namespace
{
/// Targets of another zone's pool are asked for a sign of life that often while the pool has no owner.
constexpr Milliseconds ProbePeriod {150};
/// A probe without answer counts only when no other was answered within this time: single targets may be down.
constexpr Milliseconds ProbeMemory {400};
/// They must have answered for so long before the pool is claimed: when a cut heals, its hosts are heard within this time.
constexpr Milliseconds AnswersBeforeClaim {500};
/// A target that obeyed another host is left alone that long, longer each time.
constexpr Milliseconds ClaimPause {150};
constexpr int MaxClaimPauses = 8;
/// Peers hear of each other within this time after a cut has healed.
constexpr Milliseconds TakenPause {800};
/// Claims that fail at once and are tried again at once: the tokens of an earlier fleet may be higher than the first guess.
constexpr int SwiftClaims = 3;
/// The clock is only the first guess for a round, in steps of this.
constexpr std::int64_t RoundStepMs = 100;
/// Low bits of a token tell hosts apart that chose the same round.
constexpr unsigned TokenSaltBits = 16;
std::string lostName(const std::string &host, std::uint64_t incarnation)
{
    return host + '#' + std::to_string(incarnation);
}
} // namespace

PoolName HostNode::poolOfTarget(const TargetEntry &entry) const
{
    return m_plan.poolOf(entry);
}

void HostNode::onTargetList(const std::map<std::string, TargetEntry> &entries, bool storeIsFresh, TimePoint now)
{
    m_now = now;
    for (const auto &[id, entry] : m_targets) {
        if (!entries.contains(id) && storeIsFresh) {
            m_scheduler.onEntryGone(id);
            if (m_scheduler.ownsTarget(id)) {
                // Its runs are looked after until they end.
                m_goneTargets[id] = entry;
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
    m_plan = PoolPlan(m_targets);
    for (const auto &[id, entry] : m_targets) {
        m_scheduler.updateTarget(entry);
    }
    updatePools(now);
    settle(now);
}

void HostNode::updatePools(TimePoint now)
{
    const auto pools = m_plan.pools();
    for (auto &[pool, claim] : m_assignment.self().claims) {
        claim.ownedTargets = listedTargets(pool);
    }
    for (const auto &[pool, claim] : m_assignment.self().claims) {
        if (!pools.contains(pool) && !claim.yielding) {
            yieldPool(pool, now);
            break;
        }
    }
    const auto decision = m_assignment.decide(pools, m_view, now);
    std::set<PoolName> foreign;
    for (const auto &pool : decision.claim) {
        const auto probed = m_probedPools.find(pool);
        const bool reachable = probed != m_probedPools.end() && probed->second.answersSince != TimePoint()
            && now - probed->second.answersSince >= AnswersBeforeClaim;
        if (pool.zone.empty() || pool.zone == m_identity.zone || reachable) {
            claimPool(pool, now);
        } else {
            foreign.insert(pool);
        }
    }
    probeForeignPools(foreign, now);
    for (const auto &pool : decision.keep) {
        m_assignment.self().claims[pool].yielding = false;
        for (const auto &[id, entry] : m_targets) {
            if (poolOfTarget(entry) == pool) {
                m_scheduler.cancelRetirement(id);
            }
        }
        m_observer.onPool(pool, "kept", m_assignment.self().claims[pool].round, m_targets.size());
    }
    for (const auto &pool : decision.yield) {
        yieldPool(pool, now);
    }
    claimTargets(now);
    checkTakeovers(now);
}

/// Asks targets of pools without owner for a sign of life, without taking them over: a zone that is cut off goes on by itself.
void HostNode::probeForeignPools(const std::set<PoolName> &pools, TimePoint now)
{
    std::erase_if(m_probedPools, [&](const auto &entry) {
        return !pools.contains(entry.first);
    });
    for (const auto &pool : pools) {
        auto &record = m_probedPools[pool];
        if (now < record.dueAt) {
            continue;
        }
        record.dueAt = now + ProbePeriod;
        std::vector<const TargetEntry *> targets;
        for (const auto &[id, entry] : m_targets) {
            if (poolOfTarget(entry) == pool && !entry.draining && !m_probes.contains(id)) {
                targets.push_back(&entry);
            }
        }
        if (!targets.empty()) {
            const auto &target = *targets[record.turn++ % targets.size()];
            m_probes[target.id] = pool;
            m_port.sendRenewal(target, RenewalOrder());
        }
    }
}

/// True when the answer was one to a probe.
bool HostNode::onProbeReply(const std::string &target, const RenewalReply &reply, TimePoint now)
{
    const auto probe = m_probes.find(target);
    if (probe == m_probes.end() || reply.fencingToken != 0) {
        return false;
    }
    const auto record = m_probedPools.find(probe->second);
    m_probes.erase(probe);
    if (record == m_probedPools.end()) {
        return true;
    }
    auto &[dueAt, answersSince, lastAnswerAt, turn] = record->second;
    if (reply.result != OrderResult::Unknown && reply.result != OrderResult::NotSent) {
        lastAnswerAt = now;
        answersSince = answersSince == TimePoint() ? now : answersSince;
    } else if (now - lastAnswerAt > ProbeMemory) {
        answersSince = TimePoint();
    }
    return true;
}

std::uint32_t HostNode::listedTargets(const PoolName &pool) const
{
    return static_cast<std::uint32_t>(std::count_if(m_targets.begin(), m_targets.end(), [&](const auto &entry) {
        return poolOfTarget(entry.second) == pool && m_scheduler.isListed(entry.first);
    }));
}

void HostNode::claimPool(const PoolName &pool, TimePoint)
{
    m_highestRound = std::max(m_highestRound + 1, static_cast<std::uint64_t>(m_port.wallClockMs() / RoundStepMs));
    PoolClaim claim;
    claim.pool = pool;
    claim.round = m_highestRound;
    m_assignment.self().claims[pool] = claim;
    m_observer.onPool(pool, "claimed", claim.round, m_targets.size());
    m_reportsDue = true;
}

std::uint64_t HostNode::nextToken(const std::string &target)
{
    const auto losses = m_lostClaims.find(target);
    const auto skip = losses == m_lostClaims.end() ? 0 : std::uint64_t(1) << std::min(losses->second, 20);
    m_highestRound = std::max(m_highestRound + skip, static_cast<std::uint64_t>(1));
    const auto name = lostName(m_identity.host, m_identity.incarnation);
    const auto salt = XXH64(name.data(), name.size(), 0) & ((1U << TokenSaltBits) - 1);
    return (m_highestRound << TokenSaltBits) + salt;
}

/// Takes over the targets of the claimed pools that no other host holds any more.
void HostNode::claimTargets(TimePoint now)
{
    std::set<std::string> held;
    for (const auto *member : m_view.live(now)) {
        for (const auto &claim : member->report.claims) {
            held.insert(claim.heldTargets.begin(), claim.heldTargets.end());
        }
    }
    for (const auto &[id, entry] : m_targets) {
        const auto claim = m_assignment.self().claims.find(poolOfTarget(entry));
        const bool mine = claim != m_assignment.self().claims.end() && !claim->second.yielding;
        if (m_scheduler.ownsTarget(id)) {
            if (!mine) {
                m_scheduler.retireTarget(id);
            }
            continue;
        }
        const auto pause = m_claimPause.find(id);
        if (!mine || held.contains(id) || (pause != m_claimPause.end() && now < pause->second)) {
            continue;
        }
        const auto token = nextToken(id);
        claim->second.round = std::max(claim->second.round, token >> TokenSaltBits);
        m_scheduler.addTarget(entry, token, now);
    }
}

void HostNode::yieldPool(const PoolName &pool, TimePoint)
{
    auto &claim = m_assignment.self().claims[pool];
    claim.yielding = true;
    for (const auto &[id, entry] : m_targets) {
        if (poolOfTarget(entry) == pool) {
            m_scheduler.retireTarget(id);
        }
    }
    m_observer.onPool(pool, "yielded", claim.round, m_targets.size());
    m_reportsDue = true;
}

/// Drops yielded pools without targets, and sends waiting jobs elsewhere when no pool is left.
void HostNode::finishYields(TimePoint now)
{
    auto &claims = m_assignment.self().claims;
    for (auto it = claims.begin(); it != claims.end();) {
        const auto &pool = it->first;
        const bool holdsAny = std::any_of(m_targets.begin(), m_targets.end(), [&](const auto &entry) {
            return poolOfTarget(entry.second) == pool && m_scheduler.ownsTarget(entry.first);
        });
        if (it->second.yielding && !holdsAny) {
            m_observer.onPool(pool, "released", it->second.round, 0);
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
    for (const auto *member : m_view.live(now)) {
        const bool takes = std::any_of(member->report.claims.begin(), member->report.claims.end(), [](const PoolClaim &claim) {
            return !claim.yielding;
        });
        if (takes && !member->report.leaving) {
            m_scheduler.redirectWaitingJobs(member->report.host, now);
            return;
        }
    }
}

/// True while every target of a lost dispatcher is listed here, so that each run of its jobs is known.
bool HostNode::isTakenOver(const std::string &lostDispatcher, TimePoint now) const
{
    const auto lost = m_lostDispatchers.find(lostDispatcher);
    if (lost == m_lostDispatchers.end() || lost->second.first.empty()) {
        return false;
    }
    const auto &lostPools = lost->second.first;
    const bool allMine = std::all_of(lostPools.begin(), lostPools.end(), [&](const PoolName &pool) {
        return heirOf(pool, now) == m_identity.host;
    });
    return allMine && std::all_of(m_targets.begin(), m_targets.end(), [&](const auto &entry) {
               return !lostPools.contains(poolOfTarget(entry.second)) || m_scheduler.isListed(entry.first);
           });
}

void HostNode::checkTakeovers(TimePoint now)
{
    for (const auto &[name, lost] : m_lostDispatchers) {
        if (isTakenOver(name, now)) {
            m_scheduler.onTakeoverComplete(name, now);
        }
    }
}

/// Hands a job to this host's own scheduler.
void HostNode::schedule(JobSubmission order, TimePoint now)
{
    if (isTakenOver(order.lostDispatcher, now)) {
        order.earlierRunsEndBy = now;
    }
    m_scheduler.submit(std::move(order), now);
}

void HostNode::onTargetLost(const std::string &target, bool wasOwned)
{
    // A claim that fails at first is raised at once; a target that another host took is left to it until the two know of each other.
    const auto losses = ++m_lostClaims[target];
    const auto pauses = std::clamp(losses - SwiftClaims, 0, MaxClaimPauses);
    m_claimPause[target] = m_now + (wasOwned ? Duration(TakenPause) : Duration(ClaimPause * pauses));
    m_observer.onTargetTaken(target, m_highestRound << TokenSaltBits);
    m_takenTargets.push_back(target);
}

void HostNode::onTargetRestarted(const std::string &target)
{
    ++m_lostClaims[target];
    m_observer.onTargetTaken(target, m_highestRound << TokenSaltBits);
    m_restartedTargets.push_back(target);
}

void HostNode::onTargetReleased(const std::string &target)
{
    m_port.forgetTarget(target);
    m_goneTargets.erase(target);
    m_reportsDue = true;
}

const TargetEntry *HostNode::entryOf(const std::string &target) const
{
    const auto listed = m_targets.find(target);
    if (listed != m_targets.end()) {
        return &listed->second;
    }
    const auto gone = m_goneTargets.find(target);
    return gone == m_goneTargets.end() ? nullptr : &gone->second;
}

void HostNode::sendStart(const std::string &target, const StartOrder &order)
{
    if (const auto *entry = entryOf(target)) {
        m_port.sendStart(*entry, order);
    }
}

void HostNode::sendStop(const std::string &target, const StopOrder &order)
{
    if (const auto *entry = entryOf(target)) {
        m_port.sendStop(*entry, order);
    }
}

void HostNode::sendRenewal(const std::string &target, const RenewalOrder &order)
{
    if (const auto *entry = entryOf(target)) {
        m_port.sendRenewal(*entry, order);
    }
}

void HostNode::onStartReply(const std::string &target, const RunName &run, const OrderReply &reply, TimePoint now)
{
    m_now = now;
    m_scheduler.onStartReply(target, run, reply, now);
    settle(now);
}

void HostNode::onStopReply(const std::string &target, const RunName &run, const OrderReply &reply, TimePoint now)
{
    m_now = now;
    m_scheduler.onStopReply(target, run, reply, now);
    settle(now);
}

void HostNode::onRenewalReply(const std::string &target, const RenewalReply &reply, TimePoint now)
{
    m_now = now;
    if (onProbeReply(target, reply, now)) {
        updatePools(now);
        return;
    }
    const bool listedBefore = m_scheduler.isListed(target);
    m_scheduler.onRenewalReply(target, reply, now);
    settle(now);
    if (!listedBefore && m_scheduler.isListed(target)) {
        m_lostClaims.erase(target);
        checkTakeovers(now);
        settle(now);
    }
}
} // namespace Anvilcart::Fleet
