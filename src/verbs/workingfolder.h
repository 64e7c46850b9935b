#pragma once

#include "config/configurationfiles.h"

#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

namespace Anvilcart
{
/// The file in an operator's folder that names the published version which the folder was made from.
constexpr const char *MarkerName = ".published-version";

/// The version that the folder was made from, or nothing when it does not say. Thread-safe.
std::optional<std::uint64_t> readMarker(const std::filesystem::path &folder);

/// Notes the version that the folder now holds. Thread-safe for different folders.
void writeMarker(const std::filesystem::path &folder, std::uint64_t version);

/// Brings the named files of the folder to their content in a set; a file that the set lacks is removed.
void updateFiles(const std::filesystem::path &folder, const std::vector<std::string> &names, const std::vector<ConfigurationFile> &files);
} // namespace Anvilcart
