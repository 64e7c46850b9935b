#include "config/configurationmerge.h"

#include <algorithm>
#include <set>

namespace Anvilcart
{
namespace
{
bool isEqual(const std::string *left, const std::string *right)
{
    if (left == nullptr || right == nullptr) {
        return left == right;
    }
    return *left == *right;
}

std::set<std::string> namesOf(const std::vector<ConfigurationFile> &left, const std::vector<ConfigurationFile> &right)
{
    std::set<std::string> names;
    for (const auto &file : left) {
        names.insert(file.name);
    }
    for (const auto &file : right) {
        names.insert(file.name);
    }
    return names;
}
} // namespace

const std::string *findFile(const std::vector<ConfigurationFile> &files, const std::string &name)
{
    const auto found = std::find_if(files.begin(), files.end(), [&](const ConfigurationFile &file) {
        return file.name == name;
    });
    return found == files.end() ? nullptr : &found->content;
}

std::vector<std::string> changedFiles(const std::vector<ConfigurationFile> &before, const std::vector<ConfigurationFile> &after)
{
    std::vector<std::string> changed;
    for (const auto &name : namesOf(before, after)) {
        if (!isEqual(findFile(before, name), findFile(after, name))) {
            changed.push_back(name);
        }
    }
    return changed;
}

MergedFiles mergeFiles(const std::vector<ConfigurationFile> &base,
                       const std::vector<ConfigurationFile> &own,
                       const std::vector<ConfigurationFile> &other)
{
    MergedFiles merged;
    for (const auto &name : namesOf(own, other)) {
        const auto *before = findFile(base, name);
        const auto *mine = findFile(own, name);
        const auto *theirs = findFile(other, name);
        const bool changedByOwn = !isEqual(before, mine);
        const bool changedByOther = !isEqual(before, theirs);
        if (changedByOwn && changedByOther && !isEqual(mine, theirs)) {
            merged.conflicts.push_back(name);
        } else if (changedByOther && !changedByOwn) {
            merged.takenOver.push_back(name);
        }
        const auto *content = changedByOwn ? mine : theirs;
        if (content != nullptr) {
            merged.files.push_back({name, *content});
        }
    }
    return merged;
}
} // namespace Anvilcart
