#pragma once

#include "dispatch/taskoutcome.h"
#include "model/job.h"

#include <functional>

namespace Anvilcart
{
/// Reports the outcomes of started tasks.
class OutcomeSource
{
public:
    using OutcomeHandler = std::function<void(const TaskRef &, TaskOutcome)>;

    virtual ~OutcomeSource() = default;

    /// Sets the handler, which is called on the decision loop. Precondition: called once, before the first start.
    virtual void setOutcomeHandler(OutcomeHandler handler) = 0;
};
} // namespace Anvilcart
