#pragma once

#include "fleet/fleetview.h"
#include "workload/targetentry.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace Anvilcart::Fleet
{
/// How the targets are split into pools: one for all while one host can carry it, since one queue serves best; else one or more for
/// each zone. A value type.
class PoolPlan
{
public:
    PoolPlan() = default;
    explicit PoolPlan(const std::map<std::string, TargetEntry> &targets);

    PoolName poolOf(const TargetEntry &target) const;
    const std::set<PoolName> &pools() const;

private:
    std::set<PoolName> m_pools;
    std::map<std::string, std::uint32_t> m_shardsOfZone;
};

/// What this host should do about its pools.
struct PoolDecision
{
    std::vector<PoolName> claim;
    std::vector<PoolName> yield;
    /// Yielded pools that nobody else can take: they are kept after all.
    std::vector<PoolName> keep;
};

/// This host, as a candidate for pools.
struct PoolCandidate
{
    std::string host;
    std::string zone;
    std::uint32_t processorPercent = 0;
    bool leaving = false;
    std::map<PoolName, PoolClaim> claims;
};

/// Decides which host dispatches to which pool, from what this host sees. Hosts that see different things may claim the same pool;
/// that costs time, never safety, since targets obey the highest fencing token only. Not thread-safe.
class PoolAssignment
{
public:
    explicit PoolAssignment(PoolCandidate self);

    /// Decides about these pools. A host that has just started looks around first.
    PoolDecision decide(const std::set<PoolName> &pools, const FleetView &view, TimePoint now);

    PoolCandidate &self();
    const PoolCandidate &self() const;

private:
    std::string preferredHost(const PoolName &pool, const FleetView &view, TimePoint now) const;
    bool strongerHostIsReady(const PoolName &pool, const FleetView &view, TimePoint now) const;
    void noteTenures(TimePoint now);

    PoolCandidate m_self;
    TimePoint m_startedAt;
    /// Since when this host has its pools.
    std::map<PoolName, TimePoint> m_heldSince;
};
} // namespace Anvilcart::Fleet
