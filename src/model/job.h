#pragma once

#include "model/resultcode.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Anvilcart
{
/// Resources that a task needs on its target. Zero means no requirement.
struct TaskSize
{
    std::uint32_t cpus = 0;
    std::uint32_t memoryMb = 0;
    std::uint32_t accelerators = 0;

    bool operator==(const TaskSize &) const = default;
};

/// A task as declared by the caller.
struct TaskSpec
{
    std::string id;
    std::string kind;
    std::string payload;
    std::chrono::milliseconds declaredRunTime {0};
    TaskSize size;
    bool idempotent = true;
    std::string idempotencyKey;
    std::chrono::seconds keyExpiry {0};
};

/// A submission: tasks that are answered together, either with all results or with none.
struct JobSpec
{
    std::string submission;
    std::string team;
    std::chrono::milliseconds deadline {0};
    std::vector<TaskSpec> tasks;
};

/// The output of one finished task.
struct TaskResult
{
    std::string id;
    std::string output;
};

/// The answer to a submission: all results, or an error code and no results.
struct JobAnswer
{
    std::string submission;
    ResultCode code = ResultCode::Complete;
    std::string message;
    std::chrono::milliseconds retryAfter {0};
    std::vector<TaskResult> results;
};

/// Identifies one attempt to run a task. Answers are matched by all three fields.
struct TaskRef
{
    std::uint64_t job = 0;
    std::uint32_t task = 0;
    std::uint32_t attempt = 0;

    bool operator==(const TaskRef &) const = default;
};
} // namespace Anvilcart
