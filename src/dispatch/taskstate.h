#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Anvilcart
{
/// The life of one task of one submission. Finished, Unknown and Cancelled are final.
enum class TaskState : std::uint8_t {
    Queued,
    Sent,
    Finished,
    Unknown,
    Cancelled,
};

constexpr std::size_t TaskStateCount = 5;

/// The name in metrics and logs. Thread-safe.
std::string_view toName(TaskState state);

/// True where the state machine has an edge. The only way back is Sent to Queued: the target proved that it did not start.
/// From Queued to Finished goes a task whose idempotency key was answered before. Thread-safe.
bool isEdge(TaskState from, TaskState to);
} // namespace Anvilcart
