#include "dispatch/healthsignal.h"

namespace Anvilcart
{
namespace
{
/// Classifies each type of outcome.
struct HealthSignalVisitor
{
    HealthSignal operator()(const TaskFinished &) const
    {
        return HealthSignal::Success;
    }

    HealthSignal operator()(const TaskStopped &) const
    {
        return HealthSignal::Neutral;
    }

    HealthSignal operator()(const TaskRanAndFailed &) const
    {
        return HealthSignal::Failure;
    }

    HealthSignal operator()(const TaskLost &) const
    {
        return HealthSignal::Failure;
    }

    HealthSignal operator()(const TaskNotStarted &notStarted) const
    {
        switch (notStarted.reason) {
        case NotStartedReason::ConnectFailed:
            return HealthSignal::ConnectFailure;
        case NotStartedReason::RefusedByTarget:
            return HealthSignal::Failure;
        default:
            return HealthSignal::Neutral;
        }
    }
};
} // namespace

HealthSignal healthSignalOf(const TaskOutcome &outcome)
{
    return std::visit(HealthSignalVisitor(), outcome);
}
} // namespace Anvilcart
