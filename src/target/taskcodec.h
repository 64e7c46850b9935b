#pragma once

#include "dispatch/interfaces/targetport.h"
#include "dispatch/taskoutcome.h"
#include "net/httpclient.h"

#include <optional>
#include <string>

namespace Anvilcart
{
/// What a target reads from a request to run a task.
struct RunRequest
{
    std::string submission;
    std::string task;
    std::uint32_t attempt = 0;
    std::string kind;
    std::string payload;
    /// Empty for an idempotent task.
    std::string idempotencyKey;
};

/// What a target says of one task. A state of its own for each TaskOutcome but TaskLost.
enum class RunState {
    Finished,
    Failed,
    Stopped,
    NotStarted,
};

/// What a target answers to a request to run a task.
struct RunReply
{
    std::string submission;
    std::string task;
    std::uint32_t attempt = 0;
    RunState state = RunState::Finished;
    std::string text;
};

/// The body that asks a target to run a task. Thread-safe.
std::string encodeRunRequest(const TaskStart &start);

/// Reads what encodeRunRequest() wrote; nothing when the body is not that. Thread-safe.
std::optional<RunRequest> decodeRunRequest(const std::string &body);

/// The body of a target's answer. Thread-safe.
std::string encodeRunReply(const RunReply &reply);

/// The outcome that a reply proves for this attempt: lost where the answer is missing, broken or another attempt's. Thread-safe.
TaskOutcome decodeOutcome(const TaskStart &start, HttpReply &reply);

/// The body that asks a target to stop a task. Thread-safe.
std::string encodeStopRequest(const std::string &submission, const std::string &task);
} // namespace Anvilcart
