#pragma once

#include "config/configuration.h"
#include "dispatch/admission.h"
#include "model/job.h"

#include <optional>

namespace Anvilcart
{
/// True where a task of the job may start only under a claim. Thread-safe.
bool needsClaims(const JobSpec &job);

/// Refuses keys that no claim could protect: one that two tasks share, that would outlive the log's records, or that would expire
/// before the job's deadline. Nothing means that the keys are in order. Thread-safe.
std::optional<Refusal> refuseKeys(const JobSpec &job, const LimitSpec &limits, Duration deadline);
} // namespace Anvilcart
