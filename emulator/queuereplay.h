#pragma once

#include "emulator/emulatedcallers.h"
#include "emulator/faultscenarios.h"

#include <cstddef>
#include <map>
#include <string>
#include <vector>

namespace Anvilcart::Emulation
{
/// Which job of the waiting ones a replay serves next.
enum class ReplayOrder {
    /// Kinds share the capacity by work; within a kind, the first to arrive.
    FairShares,
    /// The same; within a kind, the last to arrive.
    FairSharesNewestFirst,
    /// The job with the least work, which serves the most jobs.
    LeastWork,
    /// The job that must start first to be in time.
    EarliestObjective,
};

/// Capacity for a replay: targets that each run this many tasks at once, and the times in which some of them are slow.
struct ReplayCapacity
{
    std::size_t targets = 0;
    std::size_t tasksPerTarget = 0;
    Overload overload;
};

/// Serves the jobs from one queue with one scheduler that knows every run time and every end in advance, and refuses a job as soon as it
/// can no longer be in time. No fleet without that knowledge does better in the same order. Results by kind.
std::map<std::string, JobKindResult>
replayWithFullKnowledge(const std::vector<SubmittedJob> &jobs, const ReplayCapacity &capacity, ReplayOrder order);
} // namespace Anvilcart::Emulation
