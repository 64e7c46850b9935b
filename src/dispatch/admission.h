#pragma once

#include "config/configuration.h"
#include "dispatch/slottable.h"
#include "model/job.h"

#include <optional>
#include <string>

namespace Anvilcart
{
/// What admission needs to know of the load on this host. Times are expected values.
struct LoadView
{
    std::size_t unstartedTasks = 0;
    /// The work of every waiting job.
    Duration queuedWork {};
    /// The work that would start before the job's own.
    Duration workAhead {};
    /// The job's own work and longest task, as far as they are known from tasks of the same kind.
    Duration jobWork {};
    Duration longestTask {};
    /// Slots that this host may fill with the queue.
    std::uint32_t slots = 0;
    /// Tasks that the job's team may run at once on this host.
    std::uint32_t teamSlots = 0;
    /// The part of the work ahead that is the team's own.
    Duration teamWorkAhead {};
    bool draining = false;
};

/// A refusal before anything was run.
struct Refusal
{
    ResultCode code;
    std::string message;
    Milliseconds retryAfter;
};

/// Decides whether a whole job is admitted; nothing means yes. Thread-safe.
std::optional<Refusal> refuse(const JobSpec &job, const Configuration &configuration, const SlotTable &slots, const LoadView &load);

/// The time that a job has for its answer under the limits. Thread-safe.
Milliseconds deadlineOf(const JobSpec &job, const LimitSpec &limits);

/// The time to come back once so much work is done by so many slots, within sensible bounds. Thread-safe.
Milliseconds drainTime(Duration work, std::uint32_t slots);
} // namespace Anvilcart
