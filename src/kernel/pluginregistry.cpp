#include "kernel/pluginregistry.h"

#include <algorithm>

namespace Anvilcart
{
PluginRegistry &PluginRegistry::instance()
{
    static PluginRegistry registry;
    return registry;
}

void PluginRegistry::add(PluginStage stage, Factory factory)
{
    m_entries.push_back({stage, std::move(factory)});
}

std::vector<std::unique_ptr<Plugin>> PluginRegistry::createAll() const
{
    auto entries = m_entries;
    std::stable_sort(entries.begin(), entries.end(), [](const Entry &left, const Entry &right) {
        return left.stage < right.stage;
    });
    std::vector<std::unique_ptr<Plugin>> plugins;
    for (const auto &entry : entries) {
        plugins.push_back(entry.factory());
    }
    return plugins;
}
} // namespace Anvilcart
