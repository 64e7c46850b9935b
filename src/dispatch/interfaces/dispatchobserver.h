#pragma once

#include "dispatch/ejectionreason.h"
#include "dispatch/taskoutcome.h"
#include "dispatch/taskstate.h"
#include "kernel/time.h"
#include "model/resultcode.h"

namespace Anvilcart
{
/// Sees what the dispatcher does, for metrics. Called on the decision loop.
class DispatchObserver
{
public:
    virtual ~DispatchObserver() = default;

    /// A task took an edge of its state machine.
    virtual void onTransition(TaskState from, TaskState to) = 0;

    /// A submission was answered after this time.
    virtual void onAnswer(ResultCode code, Duration response) = 0;

    /// A task goes back to the queue because the target proved that it did not start.
    virtual void onRetry(NotStartedReason reason) = 0;

    /// A target gets nothing new for a while.
    virtual void onEjection(EjectionReason reason) = 0;

    /// A task left the queue after this time.
    virtual void onQueueWait(Duration wait) = 0;
};
} // namespace Anvilcart
