#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Anvilcart
{
/// The state of one task of a submission. Finished, Unknown and Cancelled are final.
enum class TaskState : std::uint8_t {
    Queued,
    Sent,
    Finished,
    Unknown,
    Cancelled,
};

constexpr std::size_t TaskStateCount = 5;

/// The name used in metrics and logs. Thread-safe.
std::string_view toName(TaskState state);

/// True if the state machine has this transition. The only transition backwards is from Sent to Queued, for a task that provably did not
/// start. A task whose idempotency key already has a recorded output goes from Queued to Finished. Thread-safe.
bool isTransition(TaskState from, TaskState to);
} // namespace Anvilcart
