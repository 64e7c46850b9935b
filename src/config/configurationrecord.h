#pragma once

#include "config/configurationfiles.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Anvilcart
{
/// One version of the whole set of files, as it stands in the log: a publish, or a copy that carries the version forward.
struct ConfigurationRecord
{
    /// Unique to one attempt to publish; a publisher finds its own record by it. A carry-forward record keeps it.
    std::string id;
    /// The version that this record was made from.
    std::uint64_t parent = 0;
    /// The version that this record becomes when it is accepted.
    std::uint64_t version = 0;
    std::string author;
    std::string comment;
    std::vector<ConfigurationFile> files;
    /// Set on a carry-forward record: its writer had applied every record below this offset when the version was current.
    std::optional<std::uint64_t> carriedAt;
    /// False where the fields that decide acceptance were read and the rest was not.
    bool isContentReadable = true;
};

/// The bytes of a record in the log. Thread-safe.
std::string encode(const ConfigurationRecord &record);

/// Reads what encode() wrote; nothing when the fields that decide acceptance cannot be read. Thread-safe.
std::optional<ConfigurationRecord> decodeConfigurationRecord(const std::string &bytes);
} // namespace Anvilcart
