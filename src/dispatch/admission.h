#pragma once

#include "config/configuration.h"
#include "dispatch/slottable.h"
#include "model/job.h"

#include <optional>

namespace Anvilcart
{
/// What admission needs to know of the load on this host.
struct LoadView
{
    std::size_t unstartedTasks = 0;
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
} // namespace Anvilcart
