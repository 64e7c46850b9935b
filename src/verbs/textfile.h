#pragma once

#include <optional>
#include <string>

namespace Anvilcart
{
/// The content of a file, or nothing when it cannot be read.
std::optional<std::string> readTextFile(const std::string &path);
} // namespace Anvilcart
