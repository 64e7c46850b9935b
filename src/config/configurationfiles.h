#pragma once

#include <boost/leaf/result.hpp>

#include <filesystem>
#include <string>
#include <vector>

namespace Anvilcart
{
/// The text of one file of the configuration.
struct ConfigurationFile
{
    std::string name;
    std::string content;

    bool operator==(const ConfigurationFile &) const = default;
};

/// The name of the base file within the set.
constexpr const char *BaseFileName = "base.yaml";

/// Reads base.yaml and sites/*.yaml below a folder, in order of name. Error: ConfigurationError.
boost::leaf::result<std::vector<ConfigurationFile>> readConfigurationFiles(const std::filesystem::path &folder);
} // namespace Anvilcart
