#pragma once

#include "kernel/interfaces/plugin.h"

#include <functional>
#include <memory>
#include <vector>

namespace Anvilcart
{
/// The order in which plug-ins start; they stop in the reverse order.
enum class PluginStage {
    Observation,
    Targets,
    Decisions,
    Platform,
    Peers,
    Doors,
};

/// The factories of all plug-ins, filled by static PluginRegistrar objects before main().
class PluginRegistry
{
public:
    using Factory = std::function<std::unique_ptr<Plugin>()>;

    /// The one registry of the process. Not thread-safe until main() has begun; read-only afterwards.
    static PluginRegistry &instance();

    /// Adds a factory. Precondition: called before main().
    void add(PluginStage stage, Factory factory);

    /// Makes one instance of each plug-in, ordered by stage.
    std::vector<std::unique_ptr<Plugin>> createAll() const;

private:
    struct Entry
    {
        PluginStage stage;
        Factory factory;
    };

    std::vector<Entry> m_entries;
};

/// Registers plug-in type T from a static object.
template<typename T>
class PluginRegistrar
{
public:
    explicit PluginRegistrar(PluginStage stage)
    {
        PluginRegistry::instance().add(stage, [] {
            return std::make_unique<T>();
        });
    }
};
} // namespace Anvilcart
