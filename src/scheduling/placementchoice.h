#pragma once

#include "scheduling/targetledger.h"

#include <cstdint>
#include <limits>
#include <set>
#include <string>
#include <vector>

namespace Anvilcart::Fleet
{
/// What a task requires of its target.
struct PlacementRequest
{
    Resources demand;
    const std::string *requiredLabel = nullptr;
    /// The rack near which the task should run; empty when there is none.
    const std::string *nearRack = nullptr;
    /// How many times as long it takes elsewhere.
    double farFactor = 1;
    /// The task waits for a near target, so that only such a one is reserved.
    bool waitsForNear = false;
    const std::set<std::string> *avoidedTargets = nullptr;
    std::string jobId;
    std::uint32_t step = 0;
    std::uint32_t maxPerTarget = 0;
    /// The task needs a target without other runs.
    bool alone = false;
    /// The job's entry host has confirmed this many claims of targets; the task may start only under those.
    std::uint64_t confirmedClaims = std::numeric_limits<std::uint64_t>::max();
    /// When the grant of the job ends; TimePoint::max() when it needs none.
    TimePoint grantEndsBy = TimePoint::max();
    /// The lease that the start carries.
    Duration startLease {0};
    /// Tasks of a started job may also run on retiring targets, which accept no new jobs.
    bool jobHasStarted = false;
    /// The expected run time on a target of ordinary speed.
    Duration expectedRunTime {0};
    /// The caller stops waiting at this time.
    TimePoint callerDeadline;
    TimePoint objectiveAt;
};

/// True when the target is on the rack near which the task should run, or when there is no such rack. Thread-safe.
bool isNear(const TargetLedger &target, const PlacementRequest &request);

/// Checks every condition for starting the task on the target except free capacity, reservations and maxPerTarget. Thread-safe.
bool isUsableFor(const TargetLedger &target, const PlacementRequest &request, TimePoint now);

/// Chooses the target for a task; null when none is suitable. A task whose caller's deadline is near gets the fastest target. One with
/// time to spare gets the slowest target that still meets its objective, which leaves the fast ones to urgent tasks. Among equal targets,
/// the task goes to the one that it fills best. Meant for load at which free capacity is fragmented and some targets are several times
/// slower than others. Thread-safe.
TargetLedger *chooseTarget(const std::vector<TargetLedger *> &targets, const PlacementRequest &request, TimePoint now);

/// Chooses the target that is expected to have capacity for the task first, among those that may run it; null when there is none. A far
/// target counts as later by how much longer the task takes there.
/// Reserving a target keeps small tasks from using all freed capacity, so that a large task is not starved. Thread-safe.
TargetLedger *chooseTargetToReserve(const std::vector<TargetLedger *> &targets, const PlacementRequest &request, TimePoint now);

/// True when the task would miss its objective on this target, which is much slower than another one that is expected to have capacity in
/// time to meet it. The task then waits for that one. Thread-safe.
bool isInTimeElsewhere(const std::vector<TargetLedger *> &targets,
                       const TargetLedger &chosen,
                       const PlacementRequest &request,
                       TimePoint now);

/// True when the target, if it were empty, has the capacity and the label that the task requires. Thread-safe.
bool fitsWhenEmpty(const TargetEntry &target, const Resources &demand, const std::string &requiredLabel);
} // namespace Anvilcart::Fleet
