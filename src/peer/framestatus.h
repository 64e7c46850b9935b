#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Anvilcart
{
/// The result of checking a message from a peer.
enum class FrameStatus : std::uint8_t {
    Accepted,
    Malformed,
    WrongRecipient,
    Replayed,
    UnknownSender,
};

constexpr std::size_t FrameStatusCount = 5;

/// Returns the name used in metrics and logs. Thread-safe.
constexpr std::string_view toName(FrameStatus status)
{
    constexpr std::string_view Names[] = {"accepted", "broken", "foreign", "replayed", "unknown_sender"};
    return Names[static_cast<std::size_t>(status)];
}
} // namespace Anvilcart
