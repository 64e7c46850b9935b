#include "config/settings.h"
#include "dispatch/dispatchservice.h"
#include "dispatch/interfaces/outcomesource.h"
#include "kernel/kernel.h"
#include "kernel/pluginregistry.h"

#include <glog/logging.h>

namespace Anvilcart
{
namespace
{
constexpr Milliseconds TickPeriod {5};

/// Runs the dispatcher on the decision loop.
class DispatchPlugin : public Plugin
{
public:
    std::string_view name() const override
    {
        return "dispatch";
    }

    void start(Kernel &kernel) override
    {
        const auto &settings = kernel.service<const Settings>();
        m_dispatcher = std::make_unique<Dispatcher>(
            HostIdentity {settings.host, settings.zone}, kernel.service<TargetPort>(), kernel.service<DispatchObserver>());
        m_service = std::make_unique<DispatchService>(*m_dispatcher, kernel.decisionExecutor());
        kernel.service<OutcomeSource>().setOutcomeHandler([this](const TaskRef &ref, TaskOutcome outcome) {
            m_dispatcher->onOutcome(ref, std::move(outcome), Clock::now());
        });
        kernel.provide(*m_service);
        m_tick = kernel.timers().subscribe(kernel.decisionExecutor(), TickPeriod, [this](TimePoint now) {
            m_service->tick(now);
        });
    }

    void beginDrain() override
    {
        m_service->perform([](Dispatcher &dispatcher, TimePoint) {
            dispatcher.beginDrain();
        });
    }

    void onDrainLimit() override
    {
        m_service->perform([](Dispatcher &dispatcher, TimePoint now) {
            dispatcher.abandonAll(now);
        });
    }

    bool isDrained() const override
    {
        return m_service->isIdle();
    }

    void stop() override
    {
        m_tick.cancel();
    }

private:
    std::unique_ptr<Dispatcher> m_dispatcher;
    std::unique_ptr<DispatchService> m_service;
    TimerSubscription m_tick;
};

const PluginRegistrar<DispatchPlugin> Registrar(PluginStage::Decisions);
} // namespace
} // namespace Anvilcart
