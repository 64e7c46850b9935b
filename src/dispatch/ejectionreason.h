#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Anvilcart
{
/// Why a target was ejected and temporarily receives no new tasks.
enum class EjectionReason : std::uint8_t {
    FailureRatio,
    Stalled,
    ProbeFailed,
    ConnectFailed,
};

constexpr std::size_t EjectionReasonCount = 4;

/// The name used in metrics and logs. Thread-safe.
constexpr std::string_view toName(EjectionReason reason)
{
    constexpr std::string_view Names[] = {"failure_ratio", "stalled", "probe_failed", "connect_failed"};
    return Names[static_cast<std::size_t>(reason)];
}
} // namespace Anvilcart
