#include "dispatch/keyrules.h"

#include <algorithm>
#include <unordered_set>

namespace Anvilcart
{
namespace
{
/// A key must outlive its job's deadline by this margin, so that only a suspended host can hold an expired claim.
constexpr Seconds KeyExpiryMargin {5};
constexpr Milliseconds RetryNever {0};

Refusal invalidField(const TaskSpec &task, const std::string &problem)
{
    return {ResultCode::InvalidField, "task '" + task.id + "': " + problem, RetryNever};
}
} // namespace

bool needsClaims(const JobSpec &job)
{
    return std::any_of(job.tasks.begin(), job.tasks.end(), [](const TaskSpec &task) {
        return !task.idempotent;
    });
}

std::optional<Refusal> checkKeys(const JobSpec &job, const LimitSpec &limits, Duration deadline)
{
    std::unordered_set<std::string> keys;
    for (const auto &task : job.tasks) {
        if (task.idempotent) {
            continue;
        }
        if (task.keyExpiry > limits.maxKeyExpiry) {
            return invalidField(task, "'key_expiry_s' must be at most " + std::to_string(limits.maxKeyExpiry.count()));
        }
        if (task.keyExpiry < deadline + KeyExpiryMargin) {
            return invalidField(task,
                                "'key_expiry_s' must be at least " + std::to_string(KeyExpiryMargin.count()) + " more than the deadline");
        }
        if (!keys.insert(task.idempotencyKey).second) {
            return invalidField(task, "'idempotency_key' stands twice in the job");
        }
    }
    return std::nullopt;
}
} // namespace Anvilcart
