#include "caller/callerdoor.h"
#include "config/settings.h"
#include "kernel/kernel.h"
#include "kernel/pluginregistry.h"

namespace Anvilcart
{
namespace
{
/// Opens the door for callers.
class CallerPlugin : public Plugin
{
public:
    std::string_view name() const override
    {
        return "caller door";
    }

    void start(Kernel &kernel) override
    {
        m_door = std::make_unique<CallerDoor>(kernel.ioLoops(),
                                              kernel.service<const Settings>().callerDoor,
                                              kernel.service<DispatchService>(),
                                              kernel.service<ConfigurationService>(),
                                              kernel.service<Metrics>());
    }

    void beginDrain() override
    {
        m_door->beginDrain();
    }

    bool isDrained() const override
    {
        return m_door->isDrained();
    }

    void stop() override
    {
        m_door->stop();
    }

private:
    std::unique_ptr<CallerDoor> m_door;
};

const PluginRegistrar<CallerPlugin> Registrar(PluginStage::Doors);
} // namespace
} // namespace Anvilcart
