#pragma once

#include "dispatch/interfaces/claimprovider.h"

#include <string>
#include <utility>
#include <vector>

namespace Anvilcart
{
/// Records the calls of the dispatcher. A test sets the immediate result or passes one to the dispatcher later.
class FakeClaimProvider : public ClaimProvider
{
public:
    std::optional<ClaimResult> claim(JobId job, const JobSpec &, TimePoint, TimePoint) override
    {
        claimed.push_back(job);
        return immediateResult;
    }

    void recordNotStarted(JobId job, std::uint32_t task) override
    {
        notStarted.emplace_back(job, task);
    }

    void recordFinished(JobId, std::uint32_t, const std::string &output) override
    {
        outputs.push_back(output);
    }

    void recordFailed(JobId, std::uint32_t, const std::string &message) override
    {
        failures.push_back(message);
    }

    void closeClaims(JobId job) override
    {
        closed.push_back(job);
    }

    std::optional<ClaimResult> immediateResult;
    std::vector<JobId> claimed;
    std::vector<std::pair<JobId, std::uint32_t>> notStarted;
    std::vector<std::string> outputs;
    std::vector<std::string> failures;
    std::vector<JobId> closed;
};
} // namespace Anvilcart
