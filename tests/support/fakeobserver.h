#pragma once

#include "dispatch/interfaces/dispatchobserver.h"

#include <map>

namespace Anvilcart
{
/// Counts the events reported by the dispatcher.
class FakeObserver : public DispatchObserver
{
public:
    void onTransition(TaskState from, TaskState to) override
    {
        ++transitions[{from, to}];
    }

    void onAnswer(ResultCode code, Duration) override
    {
        ++answers[code];
    }

    void onRetry(NotStartedReason reason) override
    {
        ++retries[reason];
    }

    void onEjection(EjectionReason reason) override
    {
        ++ejections[reason];
    }

    void onQueueWait(Duration) override
    {
    }

    std::map<std::pair<TaskState, TaskState>, int> transitions;
    std::map<ResultCode, int> answers;
    std::map<NotStartedReason, int> retries;
    std::map<EjectionReason, int> ejections;
};
} // namespace Anvilcart
