#pragma once

#include "kernel/time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>

namespace Anvilcart::Fleet
{
/// What the evacuation of a target's zone allows on that target. Thread-safe.
struct ZoneAccess
{
    /// Tasks of jobs of which no task has started yet may start.
    bool admitsNewJobs = true;
    /// Tasks of jobs of which a task has started may start before this time.
    TimePoint admitsStartedJobsUntil = TimePoint::max();
    /// The share of the target's capacity that may be used; below 1 while a cold target returns from an evacuation.
    double capacityShare = 1;
    /// From 0 to 1, differs between targets. Tasks are large compared with targets, so that without it the share of every target would be
    /// rounded down to nothing, and then all targets would admit their next task at once.
    double shareRounding = 0;

    /// True when a task may start now.
    bool admits(bool jobHasStarted, TimePoint now) const;

    /// True when a further task of this demand keeps to the share of the capacity. All in thousandths of a core.
    bool hasShareFor(std::int64_t demand, std::int64_t used, std::int64_t capacity) const;

    bool operator==(const ZoneAccess &) const = default;
};

/// Decides whether tasks may be started on targets of zones that are being evacuated or return from an evacuation. Meant for the loss and
/// the return of a third to a half of the capacity under load. Not thread-safe.
class ZoneEvacuation
{
public:
    /// Jobs of which a task has started may start their other tasks in an evacuated zone for a quarter of this bound, by whose end the last
    /// start there must have taken effect.
    explicit ZoneEvacuation(Duration bound);

    /// Replaces the set of evacuated zones. A zone that stays in the set keeps the end of its grace period. The evacuation of one that is
    /// new may have been acknowledged right after checkedAt: a host that learns of it late has less of the grace period, or nothing.
    void setZones(const std::set<std::string> &zones, TimePoint checkedAt, TimePoint now);

    bool isEvacuated(const std::string &zone) const;

    /// True while any zone is evacuated.
    bool isActive() const;

    /// True while access may change with time alone, by the end of a grace period or the return of cold targets.
    bool isChanging(TimePoint now) const;

    /// The access to a target of this zone that stays slow until coldUntil.
    ZoneAccess accessTo(const std::string &zone, const std::string &target, TimePoint coldUntil, TimePoint now) const;

private:
    Duration m_bound;
    /// The end of the grace period of each evacuated zone.
    std::map<std::string, TimePoint> m_graceEnds;
    /// When that of each zone that returned last ended.
    std::map<std::string, TimePoint> m_endedAt;
};
} // namespace Anvilcart::Fleet
