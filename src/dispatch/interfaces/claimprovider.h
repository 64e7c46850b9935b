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
/// The output that an earlier submission got for the key of a task.
struct KnownOutput
{
    std::uint32_t task = 0;
    std::string output;
};

/// Every key of the job is claimed for it, or was already answered.
struct ClaimsGranted
{
    /// No claimed task may be started from then on.
    TimePoint startBefore;
    /// The tasks that are not run again.
    std::vector<KnownOutput> known;
};

/// What came of the claims of one job: all of them, or none. After a refusal nothing of the job was run.
using ClaimVerdict = std::variant<ClaimsGranted, Refusal>;

/// Grants the right to start non-idempotent tasks. Called on the decision loop; returns at once.
class ClaimGate
{
public:
    virtual ~ClaimGate() = default;

    /// Claims the keys of every non-idempotent task of the job. Without a verdict here, one comes later to Dispatcher::onClaims().
    virtual std::optional<ClaimVerdict> claim(JobId job, const JobSpec &spec, TimePoint deadline, TimePoint now) = 0;

    /// The task never started and never will; it is never started after this. Tasks without a claim are ignored.
    virtual void abandon(JobId job, std::uint32_t task) = 0;

    /// The task ran and gave this output. Tasks without a claim are ignored.
    virtual void recordFinished(JobId job, std::uint32_t task, const std::string &output) = 0;

    /// The task ran and failed. Tasks without a claim are ignored.
    virtual void recordFailed(JobId job, std::uint32_t task, const std::string &message) = 0;

    /// The job's last task has ended; a claim that is left has no outcome.
    virtual void forget(JobId job) = 0;
};
} // namespace Anvilcart
