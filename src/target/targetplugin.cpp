#include "config/settings.h"
#include "kernel/kernel.h"
#include "kernel/pluginregistry.h"
#include "target/targetpool.h"

namespace Anvilcart
{
namespace
{
/// Provides the way to the targets.
class TargetPlugin : public Plugin
{
public:
    std::string_view name() const override
    {
        return "targets";
    }

    void start(Kernel &kernel) override
    {
        const auto &settings = kernel.service<const Settings>();
        m_pool = std::make_unique<TargetPool>(kernel.ioLoops(), kernel.decisionExecutor(), settings.callerDoor.address);
        kernel.provide<TargetPort>(*m_pool);
        kernel.provide<OutcomeSource>(*m_pool);
    }

private:
    std::unique_ptr<TargetPool> m_pool;
};

const PluginRegistrar<TargetPlugin> Registrar(PluginStage::Targets);
} // namespace
} // namespace Anvilcart
