#pragma once

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Anvilcart
{
/// What becomes of a message from a peer.
enum class FrameVerdict : std::uint8_t {
    Accepted,
    Broken,
    Foreign,
    Replayed,
    UnknownSender,
};

constexpr std::size_t FrameVerdictCount = 5;

/// The name in metrics and logs. Thread-safe.
constexpr std::string_view toName(FrameVerdict verdict)
{
    constexpr std::string_view Names[] = {"accepted", "broken", "foreign", "replayed", "unknown_sender"};
    return Names[static_cast<std::size_t>(verdict)];
}
} // namespace Anvilcart
