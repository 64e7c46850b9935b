#include "config/configurationfiles.h"

#include "config/configurationerror.h"

#include <algorithm>
#include <fstream>
#include <sstream>

namespace Anvilcart
{
namespace leaf = boost::leaf;
namespace fs = std::filesystem;

namespace
{
std::string readFile(const fs::path &path)
{
    const std::ifstream stream(path, std::ios::binary);
    std::ostringstream content;
    content << stream.rdbuf();
    return content.str();
}

std::vector<fs::path> overlayPaths(const fs::path &folder)
{
    std::vector<fs::path> paths;
    std::error_code error;
    for (const auto &entry : fs::directory_iterator(folder / "sites", error)) {
        if (entry.path().extension() == ".yaml") {
            paths.push_back(entry.path());
        }
    }
    std::sort(paths.begin(), paths.end());
    return paths;
}
} // namespace

leaf::result<std::vector<ConfigurationFile>> readConfigurationFiles(const fs::path &folder)
{
    const auto base = folder / BaseFileName;
    if (!fs::is_regular_file(base)) {
        return leaf::new_error(
            ConfigurationError {{{base.string(), 0, "the base file does not exist", "create it or name another folder"}}});
    }
    std::vector<ConfigurationFile> files = {{BaseFileName, readFile(base)}};
    for (const auto &path : overlayPaths(folder)) {
        files.push_back({"sites/" + path.filename().string(), readFile(path)});
    }
    return files;
}
} // namespace Anvilcart
