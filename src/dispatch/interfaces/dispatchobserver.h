#pragma once

#include "dispatch/ejectionreason.h"
#include "dispatch/taskoutcome.h"
#include "dispatch/taskstate.h"
#include "kernel/time.h"
#include "model/resultcode.h"

namespace Anvilcart
{
/// Receives the events of the dispatcher, for metrics. Called on the decision loop.
class DispatchObserver
{
public:
    virtual ~DispatchObserver() = default;

    /// A task changed its state.
    virtual void onTransition(TaskState from, TaskState to) = 0;

    /// A submission was answered; response is the time since its arrival.
    virtual void onAnswer(ResultCode code, Duration response) = 0;

    /// A task is queued again because it provably did not start at its target.
    virtual void onRetry(NotStartedReason reason) = 0;

    /// A target was ejected: it temporarily receives no new tasks.
    virtual void onEjection(EjectionReason reason) = 0;

    /// A task was sent to a target; wait is the time since its job arrived.
    virtual void onQueueWait(Duration wait) = 0;
};
} // namespace Anvilcart
