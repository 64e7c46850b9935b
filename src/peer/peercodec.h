#pragma once

#include "peer/peerframe.h"

#include <optional>
#include <string>
#include <string_view>

namespace Anvilcart
{
/// The largest frame in bytes; a larger one is neither sent nor read.
constexpr std::size_t MaxFrameBytes = 16384;

/// The bytes of a frame. Fields that a newer release adds are ignored by decodeFrame(). Thread-safe.
std::string encode(const PeerFrame &frame);

/// Reads what encode() wrote; nothing when the bytes are not a frame within all bounds. Thread-safe.
std::optional<PeerFrame> decodeFrame(std::string_view bytes);
} // namespace Anvilcart
