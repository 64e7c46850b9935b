#include "kernel/kernel.h"
#include "kernel/pluginregistry.h"
#include "observe/metrics.h"

namespace Anvilcart
{
namespace
{
/// Provides the metrics to every other part.
class ObservePlugin : public Plugin
{
public:
    std::string_view name() const override
    {
        return "observe";
    }

    void start(Kernel &kernel) override
    {
        kernel.provide(m_metrics);
        kernel.provide<DispatchObserver>(m_metrics);
    }

private:
    Metrics m_metrics;
};

const PluginRegistrar<ObservePlugin> Registrar(PluginStage::Observation);
} // namespace
} // namespace Anvilcart
