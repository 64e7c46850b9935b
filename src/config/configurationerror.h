#pragma once

#include <algorithm>
#include <string>
#include <tuple>
#include <vector>

namespace Anvilcart
{
/// One mistake in a file, with where it is and what to write instead.
struct ConfigurationMistake
{
    std::string file;
    int line = 0;
    std::string what;
    std::string advice;
};

/// Every mistake of one set of files. Carried as a LEAF error object.
struct ConfigurationError
{
    std::vector<ConfigurationMistake> mistakes;
};

/// Puts mistakes into the order of the files and their lines. Thread-safe for different lists.
inline void sortByPlace(std::vector<ConfigurationMistake> &mistakes)
{
    std::stable_sort(mistakes.begin(), mistakes.end(), [](const ConfigurationMistake &left, const ConfigurationMistake &right) {
        return std::tie(left.file, left.line) < std::tie(right.file, right.line);
    });
}

/// The one line that an operator reads: file, line, what, what to write. Thread-safe.
inline std::string toLine(const ConfigurationMistake &mistake)
{
    return mistake.file + ":" + std::to_string(mistake.line) + ": " + mistake.what + "; " + mistake.advice;
}
} // namespace Anvilcart
