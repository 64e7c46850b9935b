#include "fleet/poolassignment.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace Anvilcart::Fleet
{
namespace
{
/// The most targets that one host dispatches to. 48 targets with 10 starts a second each take 0.04 to 0.07 of a core, a quarter of
/// what the smallest hosts of the sites with such loads have; see docs/CAPACITY.md.
constexpr std::size_t MaxTargetsPerPool = 72;
/// A stronger host, to which a pool moves, has at least this many times the processor time.
constexpr std::uint32_t MinProcessorRatio = 2;
/// A pool stays with a host for at least this time before it moves to a stronger one: during a hand-over no task starts for a few
/// hundred milliseconds.
constexpr Seconds MinTenure {2};
/// With this many other weak hosts, the cause is the load or common to all hosts, and the pool would move back and forth without gain.
constexpr std::ptrdiff_t WeakHostLimit = 2;
/// A pool returns from another zone, or moves to a stronger host, once the new host has been live for this time.
constexpr Milliseconds StableLivePeriod {1500};

std::uint64_t hashOf(const std::string &text)
{
    return XXH64(text.data(), text.size(), 0);
}

bool isInZoneOf(const std::string &zone, const PoolName &pool)
{
    return pool.zone.empty() || pool.zone == zone;
}

std::uint64_t tieBreaker(const std::string &host, const PoolName &pool)
{
    return hashOf(host + '/' + pool.zone + '/' + std::to_string(pool.shard));
}
} // namespace

PoolPlan::PoolPlan(const std::map<std::string, TargetEntry> &targets)
{
    if (targets.empty()) {
        return;
    }
    if (targets.size() <= MaxTargetsPerPool) {
        m_pools.insert(PoolName());
        for (const auto &[id, entry] : targets) {
            m_targetsOfPool[PoolName()].push_back(id);
        }
        return;
    }
    std::map<std::string, std::size_t> targetsOfZone;
    for (const auto &[id, entry] : targets) {
        ++targetsOfZone[entry.zone];
    }
    for (const auto &[zone, count] : targetsOfZone) {
        const auto shards = static_cast<std::uint32_t>((count + MaxTargetsPerPool - 1) / MaxTargetsPerPool);
        m_shardsOfZone[zone] = shards;
        for (std::uint32_t shard = 0; shard < shards; ++shard) {
            m_pools.insert({zone, shard});
        }
    }
    for (const auto &[id, entry] : targets) {
        m_targetsOfPool[poolOf(entry)].push_back(id);
    }
}

PoolName PoolPlan::poolOf(const TargetEntry &target) const
{
    const auto shards = m_shardsOfZone.find(target.zone);
    if (shards == m_shardsOfZone.end()) {
        return {};
    }
    PoolName pool {target.zone, 0};
    std::uint64_t best = 0;
    for (std::uint32_t shard = 0; shard < shards->second; ++shard) {
        const auto value = hashOf(target.id + '#' + std::to_string(shard));
        if (value > best) {
            best = value;
            pool.shard = shard;
        }
    }
    return pool;
}

const std::set<PoolName> &PoolPlan::pools() const
{
    return m_pools;
}

const std::vector<std::string> &PoolPlan::targetsOf(const PoolName &pool) const
{
    static const std::vector<std::string> None;
    const auto found = m_targetsOfPool.find(pool);
    return found == m_targetsOfPool.end() ? None : found->second;
}

PoolAssignment::PoolAssignment(PoolCandidate self)
    : m_self(std::move(self))
{
}

PoolCandidate &PoolAssignment::self()
{
    return m_self;
}

const PoolCandidate &PoolAssignment::self() const
{
    return m_self;
}

StartupClaims &PoolAssignment::startup()
{
    return m_startup;
}

/// Prefers hosts that can read the list of targets, then those of the pool's zone, then those with the fewest other pools, then those with
/// the most processor time; a hash breaks ties.
std::string PoolAssignment::preferredHost(const PoolName &pool, const FleetView &view, TimePoint now) const
{
    using Rank = std::tuple<bool, bool, std::size_t, std::int64_t, std::uint64_t, std::string>;
    std::vector<Rank> ranks;
    const auto add = [&](const std::string &host, const std::string &zone, bool isStale, std::size_t claims, std::uint32_t percent) {
        ranks.emplace_back(isStale, !isInZoneOf(zone, pool), claims, -static_cast<std::int64_t>(percent), tieBreaker(host, pool), host);
    };
    const auto otherClaims = [&](const auto &claims) {
        return static_cast<std::size_t>(std::count_if(claims.begin(), claims.end(), [&](const PoolClaim &claim) {
            return claim.pool != pool && !claim.yielding;
        }));
    };
    if (!m_self.leaving) {
        std::vector<PoolClaim> own;
        for (const auto &[name, claim] : m_self.claims) {
            own.push_back(claim);
        }
        add(m_self.host, m_self.zone, hasStaleTargets(now), otherClaims(own), m_self.processorPercent);
    }
    for (const auto *member : view.liveMembers(now)) {
        if (!member->report.leaving && member->report.host != m_self.host) {
            const auto &report = member->report;
            add(report.host, report.zone, report.targetListIsStale, otherClaims(report.claims), report.processorPercent);
        }
    }
    return ranks.empty() ? std::string() : std::get<std::string>(*std::min_element(ranks.begin(), ranks.end()));
}

bool PoolAssignment::hasStaleTargets(TimePoint now) const
{
    return m_self.targetListFailsSince && now - *m_self.targetListFailsSince >= m_self.targetListExpiry;
}

/// True when this host's list of targets is stale and another host has read it since. While the store serves nobody, pools stay.
bool PoolAssignment::hostWithNewerTargetsIsReady(const FleetView &view, TimePoint now) const
{
    if (!hasStaleTargets(now)) {
        return false;
    }
    const auto members = view.liveMembers(now);
    return std::any_of(members.begin(), members.end(), [&](const FleetMember *member) {
        const auto &report = member->report;
        const auto readAt = member->lastReportAt - report.targetListAge;
        return !report.leaving && !report.targetListIsStale && readAt > *m_self.targetListFailsSince;
    });
}

/// True when a host with much more processor time can take over this host's pool.
bool PoolAssignment::strongerHostIsReady(const PoolName &pool, const FleetView &view, TimePoint now) const
{
    const auto held = m_heldSince.find(pool);
    if (held == m_heldSince.end() || now - held->second < MinTenure) {
        return false;
    }
    const auto *member = view.find(preferredHost(pool, view, now));
    if (member == nullptr) {
        return false;
    }
    const auto members = view.liveMembers(now);
    const auto weakHosts = std::count_if(members.begin(), members.end(), [member](const FleetMember *other) {
        return member->report.processorPercent >= MinProcessorRatio * other->report.processorPercent;
    });
    return weakHosts < WeakHostLimit && member->report.host != m_self.host && now - member->liveSince >= StableLivePeriod
        && isInZoneOf(member->report.zone, pool) >= isInZoneOf(m_self.zone, pool)
        && member->report.processorPercent >= MinProcessorRatio * m_self.processorPercent;
}

void PoolAssignment::updateHeldSince(TimePoint now)
{
    std::erase_if(m_heldSince, [this](const auto &entry) {
        const auto claim = m_self.claims.find(entry.first);
        return claim == m_self.claims.end() || claim->second.yielding;
    });
    for (const auto &[pool, claim] : m_self.claims) {
        if (!claim.yielding) {
            m_heldSince.try_emplace(pool, now);
        }
    }
}

PoolDecision PoolAssignment::decide(const std::set<PoolName> &pools, const FleetView &view, TimePoint now)
{
    m_startup.begin(now);
    updateHeldSince(now);
    PoolDecision decision;
    // The newest claim of another host to each pool.
    std::map<PoolName, std::pair<const FleetMember *, const PoolClaim *>> otherClaims;
    for (const auto *member : view.liveMembers(now)) {
        for (const auto &claim : member->report.claims) {
            if (claim.yielding || member->report.host == m_self.host) {
                continue;
            }
            auto &[owner, newest] = otherClaims[claim.pool];
            if (newest == nullptr || claim.round > newest->round) {
                owner = member;
                newest = &claim;
            }
        }
    }
    for (const auto &pool : pools) {
        const auto other = otherClaims.find(pool);
        const FleetMember *owner = other == otherClaims.end() ? nullptr : other->second.first;
        const PoolClaim *otherClaim = other == otherClaims.end() ? nullptr : other->second.second;
        const auto own = m_self.claims.find(pool);
        const bool mine = own != m_self.claims.end() && !own->second.yielding;
        const bool inZone = isInZoneOf(m_self.zone, pool);
        const bool betterHostIsReady = hostWithNewerTargetsIsReady(view, now) || strongerHostIsReady(pool, view, now);
        const bool mustYield = mine && (m_self.leaving || (otherClaim == nullptr && betterHostIsReady));
        if (mustYield) {
            decision.yield.push_back(pool);
        } else if (mine && otherClaim != nullptr) {
            const bool otherInZone = isInZoneOf(owner->report.zone, pool);
            const auto ownRank = std::make_tuple(!hasStaleTargets(now), inZone, own->second.ownedTargets, own->second.round, m_self.host);
            const auto otherRank = std::make_tuple(
                !owner->report.targetListIsStale, otherInZone, otherClaim->ownedTargets, otherClaim->round, owner->report.host);
            if (otherRank > ownRank) {
                decision.yield.push_back(pool);
            }
        } else if (mine && !inZone) {
            const auto preferred = preferredHost(pool, view, now);
            const auto *member = view.find(preferred);
            const bool isStable = member != nullptr && now - member->liveSince >= StableLivePeriod;
            if (preferred != m_self.host && isStable && isInZoneOf(member->report.zone, pool)) {
                decision.yield.push_back(pool);
            }
        } else if (!mine && otherClaim == nullptr && !m_self.leaving) {
            if (m_startup.mayClaim(pool, now) && preferredHost(pool, view, now) == m_self.host) {
                const bool isYielding = own != m_self.claims.end();
                (isYielding ? decision.keep : decision.claim).push_back(pool);
            }
        }
    }
    return decision;
}
} // namespace Anvilcart::Fleet
