#include "verbs/textfile.h"

#include <fstream>
#include <sstream>

namespace Anvilcart
{
std::optional<std::string> readTextFile(const std::string &path)
{
    const std::ifstream stream(path, std::ios::binary);
    if (!stream) {
        return std::nullopt;
    }
    std::ostringstream content;
    content << stream.rdbuf();
    return content.str();
}
} // namespace Anvilcart
