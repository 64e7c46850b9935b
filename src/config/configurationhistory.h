#pragma once

#include "config/configurationrecord.h"

#include <cstdint>
#include <optional>

namespace Anvilcart
{
/// What a reader of the log does with a record.
enum class RecordVerdict {
    Accepted,
    LostRace,
    CarriedForward,
};

/// Decides which record is in force. Every reader that applies the same records in the order of the log comes to the same version.
/// Not thread-safe.
class ConfigurationHistory
{
public:
    /// Applies the next record of the log. A record is accepted exactly when it was made from the current version.
    RecordVerdict apply(const ConfigurationRecord &record);

    /// The record in force, or nothing.
    const std::optional<ConfigurationRecord> &current() const;

    /// The version in force; 0 when there is none.
    std::uint64_t version() const;

private:
    std::optional<ConfigurationRecord> m_current;
};
} // namespace Anvilcart
