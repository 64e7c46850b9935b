#pragma once

#include "model/resultcode.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Anvilcart
{
/// What a task needs of its target. Zero means: no requirement.
struct TaskSize
{
    std::uint32_t cpus = 0;
    std::uint32_t memoryMb = 0;
    std::uint32_t accelerators = 0;

    bool operator==(const TaskSize &) const = default;
};

/// One task as the caller declared it.
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

/// One submission: tasks that are answered together, whole or failed.
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

/// The one answer to a submission: every result, or a code and no result at all.
struct JobAnswer
{
    std::string submission;
    ResultCode code = ResultCode::Complete;
    std::string message;
    std::chrono::milliseconds retryAfter {0};
    std::vector<TaskResult> results;
};

/// Names one attempt to run one task; answers are matched by all three parts.
struct TaskRef
{
    std::uint64_t job = 0;
    std::uint32_t task = 0;
    std::uint32_t attempt = 0;

    bool operator==(const TaskRef &) const = default;
};
} // namespace Anvilcart
