#pragma once

#include "config/configurationfiles.h"

#include <string>
#include <vector>

namespace Anvilcart
{
/// Two edits of one set of files put together.
struct MergedFiles
{
    /// The other edit's set with the own edit's changed files in place.
    std::vector<ConfigurationFile> files;
    /// The names of files that both edits changed, each in its own way.
    std::vector<std::string> conflicts;
    /// The names of files that only the other edit changed.
    std::vector<std::string> takenOver;
};

/// The content of a file of the set, or null when the set has none of this name. Thread-safe.
const std::string *findFile(const std::vector<ConfigurationFile> &files, const std::string &name);

/// The names of the files that differ between two sets, in order. Thread-safe.
std::vector<std::string> changedFiles(const std::vector<ConfigurationFile> &before, const std::vector<ConfigurationFile> &after);

/// Puts the own edit of a base on top of the other edit of the same base, file by file. Thread-safe.
MergedFiles mergeFiles(const std::vector<ConfigurationFile> &base,
                       const std::vector<ConfigurationFile> &own,
                       const std::vector<ConfigurationFile> &other);
} // namespace Anvilcart
