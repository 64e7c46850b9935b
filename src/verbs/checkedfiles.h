#pragma once

#include "config/configuration.h"
#include "config/configurationerror.h"
#include "config/configurationfiles.h"

#include <string>
#include <variant>
#include <vector>

namespace Anvilcart
{
/// A set of files without mistakes, and what it means.
struct CheckedFiles
{
    std::vector<ConfigurationFile> files;
    Configuration configuration;
};

using CheckResult = std::variant<CheckedFiles, ConfigurationError>;

/// Parses and checks a set of files. Thread-safe.
CheckResult checkFiles(std::vector<ConfigurationFile> files);

/// Reads, parses and checks the set below a folder. Thread-safe.
CheckResult checkFolder(const std::string &folder);

/// Prints every mistake on a line of its own to standard error.
void printMistakes(const ConfigurationError &error);
} // namespace Anvilcart
