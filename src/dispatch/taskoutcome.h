#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace Anvilcart
{
/// Why a task provably did not start at a target.
enum class NotStartedReason : std::uint8_t {
    ConnectFailed,
    NoSlot,
    TargetLeaving,
    RefusedByTarget,
    ClaimExpired,
};

constexpr std::size_t NotStartedReasonCount = 5;

/// The name used in metrics and logs. Thread-safe.
constexpr std::string_view toName(NotStartedReason reason)
{
    constexpr std::string_view Names[] = {"connect_failed", "no_slot", "target_leaving", "refused_by_target", "claim_expired"};
    return Names[static_cast<std::size_t>(reason)];
}

/// The task ran and returned an output.
struct TaskFinished
{
    std::string output;
};

/// The task ran and failed.
struct TaskRanAndFailed
{
    std::string message;
};

/// The target stopped the task at the request of this host.
struct TaskStopped
{
};

/// The task provably did not start: the target said so, or no byte of the request was written.
struct TaskNotStarted
{
    NotStartedReason reason;
};

/// The request was written, but no matching answer was received.
struct TaskLost
{
    std::string error;
};

/// The outcome of one attempt.
using TaskOutcome = std::variant<TaskFinished, TaskRanAndFailed, TaskStopped, TaskNotStarted, TaskLost>;
} // namespace Anvilcart
