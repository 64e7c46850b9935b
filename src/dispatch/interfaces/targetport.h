#pragma once

#include "config/configuration.h"
#include "model/job.h"

#include <cstdint>
#include <string>

namespace Anvilcart
{
/// Names a target for the life of the process; an index is never given to another target.
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
    /// The start is refused as not run from then on.
    TimePoint startBefore = TimePoint::max();
};

/// The way from the decisions to the targets. Called on the decision loop; returns at once.
/// Each start() is followed by exactly one outcome, which is reported to the dispatcher on the decision loop.
class TargetPort
{
public:
    virtual ~TargetPort() = default;

    /// Tells where a target is. Precondition for start() and stop() with this index.
    virtual void configure(TargetIndex target, const TargetSpec &spec) = 0;

    /// Sends the task to the target.
    virtual void start(TargetIndex target, TaskStart start) = 0;

    /// Asks the target to stop a task; best effort, without an outcome of its own.
    virtual void stop(TargetIndex target, const std::string &submission, const std::string &task) = 0;
};
} // namespace Anvilcart
