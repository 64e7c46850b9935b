#pragma once

#include "fleet/fleetview.h"
#include "fleet/startupclaims.h"
#include "workload/targetentry.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace Anvilcart::Fleet
{
/// How the targets are split into pools: a single pool while one host can serve all targets, since a single queue serves jobs
/// best; otherwise one or more pools for each zone. A value type.
class PoolPlan
{
public:
    PoolPlan() = default;
    explicit PoolPlan(const std::map<std::string, TargetEntry> &targets);

    /// The pool of a target, which need not be one of those that the plan was made from.
    PoolName poolOf(const TargetEntry &target) const;
    const std::set<PoolName> &pools() const;

    /// The ids of a pool's targets, sorted; empty for an unknown pool.
    const std::vector<std::string> &targetsOf(const PoolName &pool) const;

private:
    std::set<PoolName> m_pools;
    std::map<std::string, std::uint32_t> m_shardsOfZone;
    std::map<PoolName, std::vector<std::string>> m_targetsOfPool;
};

/// The changes that this host makes to its pool claims.
struct PoolDecision
{
    std::vector<PoolName> claim;
    std::vector<PoolName> yield;
    /// Yielding pools that no other host claims: the claim is resumed.
    std::vector<PoolName> keep;
};

/// The properties of this host that decide which pools it gets, and its claims.
struct PoolCandidate
{
    std::string host;
    std::string zone;
    std::uint32_t processorPercent = 0;
    bool leaving = false;
    std::map<PoolName, PoolClaim> claims;
    /// Since when every read of the list of targets has failed; nothing while they succeed.
    std::optional<TimePoint> targetListFailsSince;
    /// The list of targets is stale when reads have failed for this long.
    Duration targetListExpiry = Milliseconds(1500);
};

/// Decides which pools this host dispatches to, from its view of the fleet. Hosts with different views may claim the same pool;
/// this costs time, but never safety, since a target accepts only the highest fencing token. Not thread-safe.
class PoolAssignment
{
public:
    explicit PoolAssignment(PoolCandidate self);

    /// Returns the changes for these pools. For a short time after the first call no pool is claimed, so that other hosts can be
    /// discovered.
    PoolDecision decide(const std::set<PoolName> &pools, const FleetView &view, TimePoint now);

    PoolCandidate &self();
    const PoolCandidate &self() const;

    /// From when on this host may claim pools.
    StartupClaims &startup();

    /// True when this host should not dispatch by its list of targets if another one can.
    bool hasStaleTargets(TimePoint now) const;

private:
    std::string preferredHost(const PoolName &pool, const FleetView &view, TimePoint now) const;
    bool hostWithNewerTargetsIsReady(const FleetView &view, TimePoint now) const;
    bool strongerHostIsReady(const PoolName &pool, const FleetView &view, TimePoint now) const;
    void updateHeldSince(TimePoint now);

    PoolCandidate m_self;
    StartupClaims m_startup;
    /// Since when this host holds each of its pools.
    std::map<PoolName, TimePoint> m_heldSince;
};
} // namespace Anvilcart::Fleet
