#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Anvilcart
{
/// An event in the life cycle of a claim, counted in metrics.
enum class ClaimEvent : std::uint8_t {
    Granted,
    /// The key already has a recorded outcome, so the task is not run again.
    AnsweredBefore,
    ClaimedElsewhere,
    MayHaveRun,
    LogUnavailable,
    ReadBackTimeout,
    Abandoned,
    OutcomeRecorded,
    AppendFailed,
};

constexpr std::size_t ClaimEventCount = 9;

/// The value of the metric's `event` label. Thread-safe.
constexpr std::string_view toName(ClaimEvent event)
{
    constexpr std::string_view Names[] = {"granted",
                                          "answered_before",
                                          "claimed_elsewhere",
                                          "may_have_run",
                                          "log_unavailable",
                                          "read_back_timeout",
                                          "abandoned",
                                          "outcome_recorded",
                                          "append_failed"};
    return Names[static_cast<std::size_t>(event)];
}
} // namespace Anvilcart
