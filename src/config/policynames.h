#pragma once

#include "config/configuration.h"

#include <array>
#include <string_view>

namespace Anvilcart
{
/// The names of QueueOrderKind, in its order.
inline constexpr std::array<std::string_view, 2> QueueOrderNames = {"fifo", "fewest_unstarted_first"};

/// The names of SlotSharingKind, in its order.
inline constexpr std::array<std::string_view, 3> SlotSharingNames = {"fixed_shares", "loans", "blind_push"};

/// The name that the files use. Thread-safe.
constexpr std::string_view toName(QueueOrderKind kind)
{
    return QueueOrderNames.at(static_cast<std::size_t>(kind));
}

/// The name that the files use. Thread-safe.
constexpr std::string_view toName(SlotSharingKind kind)
{
    return SlotSharingNames.at(static_cast<std::size_t>(kind));
}
} // namespace Anvilcart
