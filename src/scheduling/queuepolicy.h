#pragma once

#include "kernel/time.h"

#include <cstdint>
#include <string_view>
#include <variant>

namespace Anvilcart::Fleet
{
/// The properties of a waiting job on which its rank may depend.
struct QueueRankInputs
{
    TimePoint arrivedAt;
    /// The latest answer that still meets the objective.
    TimePoint objectiveAt;
    /// The start tag from FairQueueClock, which shares capacity between routes.
    double startTag = 0;
    /// Expected processor time of the tasks that have not started, in core-milliseconds.
    double remainingCoreMs = 0;
    /// Expected duration of the longest chain of dependent tasks.
    Duration criticalPath {0};
};

/// Baseline policy: jobs start in order of arrival.
struct FirstComeFirstServed
{
};

/// Baseline policy: jobs that must start earliest to meet their objective start first.
struct EarliestObjectiveFirst
{
};

/// Baseline policy: jobs with the least remaining work start first. Serves the most callers, but almost starves the longest jobs.
struct LeastWorkFirst
{
};

/// Routes share the capacity, and each route's jobs start in order of arrival. Jobs that can no longer meet their objective share a small
/// part of it.
struct FairShareFirst
{
};

using QueuePolicy = std::variant<FairShareFirst, FirstComeFirstServed, EarliestObjectiveFirst, LeastWorkFirst>;

/// The rank of a waiting job; lower ranks start first. Thread-safe.
double rankOf(const QueuePolicy &policy, const QueueRankInputs &inputs);

/// The policy with this name, or FairShareFirst when there is none. Thread-safe.
QueuePolicy queuePolicyNamed(std::string_view name);
} // namespace Anvilcart::Fleet
