#pragma once

#include "kernel/time.h"

#include <optional>
#include <variant>

namespace Anvilcart::Fleet
{
/// What is expected of a task near its data or its group, and elsewhere.
struct NearPlaceForecast
{
    TimePoint now;
    /// When a near placement is expected to be free; nothing when no near target can run the task.
    std::optional<TimePoint> nearAt;
    /// When a far placement is expected to be free.
    TimePoint farAt;
    Duration nearRunTime {0};
    Duration farRunTime {0};
    /// The expected duration of what follows the task in its job.
    Duration remainingPath {0};
    TimePoint objectiveAt;
    /// The caller stops waiting at this time.
    TimePoint callerDeadline;
    /// By how much a far run would delay the queued jobs, added up over them.
    Duration delayOfOthers {0};
};

/// A near placement is free.
struct StartNear
{
};

/// Waiting for a near placement does not pay.
struct StartFar
{
};

/// The task waits for a near placement until this time, and then takes a far one.
struct WaitForNear
{
    TimePoint until;
};

using NearPlaceDecision = std::variant<StartNear, StartFar, WaitForNear>;

/// Decides whether a task waits for a near placement. It does if it is then expected to end sooner; or if it still ends within the
/// objective, and the longer far run would delay the queued jobs more than the wait delays this one. It never waits past the last time at
/// which a far run is expected to meet the objective or the caller's deadline, unless a far run misses that in any case; nor past the
/// last time at which a near run is expected to meet the deadline. Meant for many jobs that want the same few racks. Thread-safe.
NearPlaceDecision decideNearPlace(const NearPlaceForecast &forecast);
} // namespace Anvilcart::Fleet
