#include "scheduling/queuepolicy.h"

namespace Anvilcart::Fleet
{
namespace
{
double millisecondsSinceEpoch(TimePoint time)
{
    return toMilliseconds(time.time_since_epoch());
}

/// Core-milliseconds credited to a waiting job per millisecond, so that a job with much work is not starved.
constexpr double AgingCoreMsPerMs = 8;

struct JobRanker
{
    const QueueRankInputs &inputs;

    double operator()(const FairShareFirst &) const
    {
        return inputs.startTag;
    }

    double operator()(const FirstComeFirstServed &) const
    {
        return millisecondsSinceEpoch(inputs.arrivedAt);
    }

    double operator()(const EarliestObjectiveFirst &) const
    {
        return millisecondsSinceEpoch(inputs.objectiveAt - inputs.criticalPath);
    }

    double operator()(const LeastWorkFirst &) const
    {
        return inputs.remainingCoreMs + AgingCoreMsPerMs * millisecondsSinceEpoch(inputs.arrivedAt);
    }
};
} // namespace

double rankOf(const QueuePolicy &policy, const QueueRankInputs &inputs)
{
    return std::visit(JobRanker {inputs}, policy);
}

QueuePolicy queuePolicyNamed(std::string_view name)
{
    if (name == "first-come") {
        return FirstComeFirstServed {};
    }
    if (name == "earliest-objective") {
        return EarliestObjectiveFirst {};
    }
    if (name == "least-work") {
        return LeastWorkFirst {};
    }
    return FairShareFirst {};
}
} // namespace Anvilcart::Fleet
