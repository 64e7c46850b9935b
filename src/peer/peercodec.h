#pragma once

#include "peer/peerframe.h"

#include <optional>
#include <string>
#include <string_view>

namespace Anvilcart
{
/// The maximum size of a frame in bytes. Larger frames are neither sent nor decoded.
constexpr std::size_t MaxFrameBytes = 16384;

/// Serializes a frame. decodeFrame() ignores fields that a newer release adds. Thread-safe.
std::string encode(const PeerFrame &frame);

/// Parses a frame serialized by encode(). Returns std::nullopt if the bytes are malformed or exceed a limit. Thread-safe.
std::optional<PeerFrame> decodeFrame(std::string_view bytes);
} // namespace Anvilcart
