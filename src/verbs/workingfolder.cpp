#include "verbs/workingfolder.h"

#include "config/configurationmerge.h"

#include <fstream>

namespace Anvilcart
{
namespace fs = std::filesystem;

std::optional<std::uint64_t> readMarker(const fs::path &folder)
{
    std::ifstream stream(folder / MarkerName);
    std::uint64_t version = 0;
    return stream >> version ? std::optional(version) : std::nullopt;
}

void writeMarker(const fs::path &folder, std::uint64_t version)
{
    std::ofstream(folder / MarkerName) << version << "\n";
}

void updateFiles(const fs::path &folder, const std::vector<std::string> &names, const std::vector<ConfigurationFile> &files)
{
    for (const auto &name : names) {
        const auto *content = findFile(files, name);
        if (content == nullptr) {
            fs::remove(folder / name);
        } else {
            std::ofstream(folder / name, std::ios::binary) << *content;
        }
    }
}
} // namespace Anvilcart
