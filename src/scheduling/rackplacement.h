#pragma once

#include "scheduling/nearplacewait.h"
#include "scheduling/placementchoice.h"
#include "scheduling/scheduledjob.h"

#include <cstddef>
#include <string>
#include <vector>

// Near placements of a job's tasks: on their data rack, or all tasks of a rack-local step on one rack. None of these functions has an
// effect on a step without either. Not thread-safe.
namespace Anvilcart::Fleet
{
/// The rack near which tasks of the step should run; empty when there is none, or no longer.
const std::string &nearRackOf(const ScheduledJob &job, std::uint32_t step);

/// Chooses the rack of a rack-local step of which no task has started: one with capacity for all its tasks now, or else the one that is
/// expected to have it first. A step that waits for a rack keeps it unless another has the capacity now. Also sets request.nearRack.
void chooseRack(ScheduledJob &job, const std::vector<TargetLedger *> &targets, PlacementRequest &request, TimePoint now);

/// What else there is in a queue when one of its jobs decides whether to wait.
struct QueueBesideJob
{
    /// The jobs that are ranked before it.
    std::vector<const ScheduledJob *> ahead;
    /// The number of other jobs that wait for any target.
    std::size_t others = 0;
    /// The cores of all usable targets.
    double cores = 0;
};

/// True while the task's wait for a near placement goes on. Ends the wait at once when no near target can be used.
bool continuesWaitForNear(ScheduledTask &task, const std::vector<TargetLedger *> &targets, const PlacementRequest &request, TimePoint now);

/// Decides whether a task that could start on farTarget waits for a near placement. The end of the wait is fixed now. The tasks of a
/// rack-local step wait together; if they don't, the step is split.
bool beginWaitForNear(ScheduledJob &job,
                      ScheduledTask &task,
                      const std::vector<TargetLedger *> &targets,
                      const TargetLedger &farTarget,
                      const PlacementRequest &request,
                      const QueueBesideJob &queue,
                      TimePoint now);

/// Records that a run of the task has begun on the target, or was found there (isAdopted): how much longer than near it is expected to
/// take. If it splits a rack-local step, the runs of the step that began before it take longer from now on. Precondition: the
/// run is in the target's ledger, with the expected run time of a near place.
void recordRackOfRun(ScheduledJob &job,
                     const ScheduledTask &task,
                     TargetLedger &target,
                     const std::vector<TargetLedger *> &targets,
                     double farFactor,
                     bool isAdopted);
} // namespace Anvilcart::Fleet
