#pragma once

#include "dispatch/admission.h"
#include "dispatch/jobtable.h"
#include "kernel/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Anvilcart
{
/// The output recorded for a task's idempotency key by an earlier submission.
struct RecordedOutput
{
    std::uint32_t task = 0;
    std::string output;
};

/// All keys of the job are claimed for it or already have a recorded output.
struct ClaimsGranted
{
    /// When the claims expire: no claimed task may be started at or after this time.
    TimePoint startBefore;
    /// Tasks that are not run because an output is already recorded for their key.
    std::vector<RecordedOutput> recordedOutputs;
};

/// The result of claiming the keys of one job: either all keys are granted or none. A refused job has run no task.
using ClaimResult = std::variant<ClaimsGranted, Refusal>;

/// Claims idempotency keys, so that each non-idempotent task is started at most once. Called on the decision loop; never blocks.
class ClaimProvider
{
public:
    virtual ~ClaimProvider() = default;

    /// Claims the keys of all non-idempotent tasks of the job.
    /// If this returns nothing, the result is passed to Dispatcher::onClaimResult() later.
    virtual std::optional<ClaimResult> claim(JobId job, const JobSpec &spec, TimePoint deadline, TimePoint now) = 0;

    /// Records that the task has not started and will not be started. Tasks without a claim are ignored.
    virtual void recordNotStarted(JobId job, std::uint32_t task) = 0;

    /// Records the output of a task that succeeded. Tasks without a claim are ignored.
    virtual void recordFinished(JobId job, std::uint32_t task, const std::string &output) = 0;

    /// Records that the task ran and failed. Tasks without a claim are ignored.
    virtual void recordFailed(JobId job, std::uint32_t task, const std::string &message) = 0;

    /// Called after the last task of the job has ended. Claims that remain open have no known outcome.
    virtual void closeClaims(JobId job) = 0;
};
} // namespace Anvilcart
