#pragma once

#include "config/configuration.h"
#include "dispatch/admission.h"
#include "model/job.h"

#include <optional>

namespace Anvilcart
{
/// True if the job has a task that may start only with a claim. Thread-safe.
bool needsClaims(const JobSpec &job);

/// Refuses keys that claims cannot protect: keys used by two tasks, keys that would outlive the records of the log, and keys that would
/// expire before the job's deadline. Returns nothing if all keys are valid. Thread-safe.
std::optional<Refusal> checkKeys(const JobSpec &job, const LimitSpec &limits, Duration deadline);
} // namespace Anvilcart
