#include "dispatch/healthsignal.h"

namespace Anvilcart
{
namespace
{
/// Reads each kind of outcome.
struct HealthSignVisitor
{
    HealthSign operator()(const TaskFinished &) const
    {
        return HealthSign::Success;
    }

    HealthSign operator()(const TaskStopped &) const
    {
        return HealthSign::Neutral;
    }

    HealthSign operator()(const TaskRanAndFailed &) const
    {
        return HealthSign::Failure;
    }

    HealthSign operator()(const TaskLost &) const
    {
        return HealthSign::Failure;
    }

    HealthSign operator()(const TaskNotStarted &notStarted) const
    {
        switch (notStarted.reason) {
        case NotStartedReason::ConnectFailed:
            return HealthSign::ConnectFailure;
        case NotStartedReason::RefusedByTarget:
            return HealthSign::Failure;
        default:
            return HealthSign::Neutral;
        }
    }
};
} // namespace

HealthSign healthSignOf(const TaskOutcome &outcome)
{
    return std::visit(HealthSignVisitor(), outcome);
}
} // namespace Anvilcart
