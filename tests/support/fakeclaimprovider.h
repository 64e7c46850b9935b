#pragma once

#include "dispatch/interfaces/claimprovider.h"

#include <string>
#include <utility>
#include <vector>

namespace Anvilcart
{
/// Keeps what the dispatcher asks of the claims, for tests; verdicts come from the test.
class FakeClaimGate : public ClaimGate
{
public:
    std::optional<ClaimVerdict> claim(JobId job, const JobSpec &, TimePoint, TimePoint) override
    {
        claimed.push_back(job);
        return atOnce;
    }

    void abandon(JobId job, std::uint32_t task) override
    {
        abandoned.emplace_back(job, task);
    }

    void recordFinished(JobId, std::uint32_t, const std::string &output) override
    {
        outputs.push_back(output);
    }

    void recordFailed(JobId, std::uint32_t, const std::string &message) override
    {
        failures.push_back(message);
    }

    void forget(JobId job) override
    {
        forgotten.push_back(job);
    }

    std::optional<ClaimVerdict> atOnce;
    std::vector<JobId> claimed;
    std::vector<std::pair<JobId, std::uint32_t>> abandoned;
    std::vector<std::string> outputs;
    std::vector<std::string> failures;
    std::vector<JobId> forgotten;
};
} // namespace Anvilcart
