#pragma once

#include "config/configurationfiles.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Anvilcart
{
/// One published version of the whole set of files, as it stands in the log.
struct ConfigurationRecord
{
    /// Unique to one attempt to publish; a publisher finds its own record by it.
    std::string id;
    /// The version that this record was made from.
    std::uint64_t parent = 0;
    /// The version that this record becomes when it is accepted.
    std::uint64_t version = 0;
    std::string author;
    std::string comment;
    std::vector<ConfigurationFile> files;
};

/// The bytes of a record in the log. Thread-safe.
std::string encode(const ConfigurationRecord &record);

/// Reads what encode() wrote; nothing when the bytes are not a record. Thread-safe.
std::optional<ConfigurationRecord> decodeConfigurationRecord(const std::string &bytes);
} // namespace Anvilcart
