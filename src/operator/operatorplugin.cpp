#include "kernel/kernel.h"
#include "kernel/pluginregistry.h"
#include "operator/operatordoor.h"

namespace Anvilcart
{
namespace
{
/// Opens the door for operators and for peers that ask for the configuration. It stays open while the host drains.
class OperatorPlugin : public Plugin
{
public:
    std::string_view name() const override
    {
        return "operator door";
    }

    void start(Kernel &kernel) override
    {
        m_door = std::make_unique<OperatorDoor>(kernel.ioLoops(),
                                                kernel.service<const Settings>(),
                                                kernel.service<DispatchService>(),
                                                kernel.service<ConfigurationService>(),
                                                kernel.service<Metrics>());
    }

    void beginDrain() override
    {
        m_door->beginDrain();
    }

    void stop() override
    {
        m_door->stop();
    }

private:
    std::unique_ptr<OperatorDoor> m_door;
};

const PluginRegistrar<OperatorPlugin> Registrar(PluginStage::Doors);
} // namespace
} // namespace Anvilcart
