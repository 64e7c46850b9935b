#pragma once

#include "config/configuration.h"
#include "dispatch/slottable.h"
#include "model/job.h"

#include <optional>
#include <string>

namespace Anvilcart
{
/// The load on this host, as input to admission control. Durations are expected values.
struct LoadView
{
    std::size_t unstartedTasks = 0;
    /// The total work of all waiting jobs.
    Duration queuedWork {};
    /// The work that would start before the new job.
    Duration workAhead {};
    /// The new job's work and its longest task, counting only kinds whose run times have been learned.
    Duration jobWork {};
    Duration longestTask {};
    /// Slots that this host may use for queued tasks.
    std::uint32_t slots = 0;
    /// The number of tasks that the job's team may run concurrently on this host.
    std::uint32_t teamSlots = 0;
    /// The part of workAhead that belongs to the job's team.
    Duration teamWorkAhead {};
    bool draining = false;
};

/// Refuses a job of which no task has run.
struct Refusal
{
    ResultCode code;
    std::string message;
    Milliseconds retryAfter;
};

/// Returns why the job must be refused, or nothing if it is admitted. Thread-safe.
std::optional<Refusal> checkAdmission(const JobSpec &job, const Configuration &configuration, const SlotTable &slots, const LoadView &load);

/// The job's deadline after applying the default and the maximum of the limits. Thread-safe.
Milliseconds effectiveDeadline(const JobSpec &job, const LimitSpec &limits);

/// The time after which to retry: how long the slots need for the work, within fixed bounds. Thread-safe.
Milliseconds retryAfterWork(Duration work, std::uint32_t slots);
} // namespace Anvilcart
