#pragma once

#include "config/configuration.h"
#include "model/job.h"

#include <cstdint>
#include <string>

namespace Anvilcart
{
/// Identifies a target for the lifetime of the process; an index is never reused.
using TargetIndex = std::uint32_t;

/// One attempt to run one task.
struct TaskStart
{
    TaskRef ref;
    std::string submission;
    std::string task;
    std::string kind;
    std::string payload;
    Duration timeout {};
    /// Empty for an idempotent task.
    std::string idempotencyKey;
    /// From this time on the target must refuse to start the task.
    TimePoint startBefore = TimePoint::max();
};

/// Sends requests to the targets. Called on the decision loop; never blocks.
/// Each start() results in exactly one outcome, which is reported to the dispatcher on the decision loop.
class TargetPort
{
public:
    virtual ~TargetPort() = default;

    /// Sets the specification of a target. Must precede start() and stop() with this index.
    virtual void configure(TargetIndex target, const TargetSpec &spec) = 0;

    /// Sends the task to the target.
    virtual void start(TargetIndex target, TaskStart start) = 0;

    /// Asks the target to stop a task. Best effort; results in no outcome of its own.
    virtual void stop(TargetIndex target, const std::string &submission, const std::string &task) = 0;
};
} // namespace Anvilcart
