#include "claims/claimmetrics.h"
#include "claims/claimservice.h"
#include "config/settings.h"
#include "kernel/kernel.h"
#include "kernel/pluginregistry.h"
#include "observe/metrics.h"

#include <glog/logging.h>

#include <random>

namespace Anvilcart
{
namespace
{
constexpr Milliseconds TickPeriod {100};

/// A random number for each process, so that no claim id of an earlier process on this host comes again.
std::string makeIncarnation()
{
    std::random_device random;
    return std::to_string((static_cast<std::uint64_t>(random()) << 32U) | random());
}

/// Claims idempotency keys in the platform's log.
class ClaimsPlugin : public Plugin
{
public:
    std::string_view name() const override
    {
        return "claims";
    }

    void start(Kernel &kernel) override
    {
        const auto &settings = kernel.service<const Settings>();
        auto &dispatch = kernel.service<DispatchService>();
        m_metrics = std::make_unique<ClaimMetrics>(kernel.service<Metrics>().registry());
        m_service = std::make_unique<ClaimService>(ClaimantIdentity {settings.host, makeIncarnation()},
                                                   *m_metrics,
                                                   kernel.service<LogService>(),
                                                   dispatch,
                                                   kernel.decisionExecutor(),
                                                   kernel.ioLoops().at(0).get_executor());
        dispatch.perform([this](Dispatcher &dispatcher, TimePoint) {
            dispatcher.setClaimProvider(*m_service);
        });
        m_service->start();
        m_tick = kernel.timers().subscribe(kernel.decisionExecutor(), TickPeriod, [this](TimePoint now) {
            m_service->tick(now);
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
    std::unique_ptr<ClaimMetrics> m_metrics;
    std::unique_ptr<ClaimService> m_service;
    TimerSubscription m_tick;
};

const PluginRegistrar<ClaimsPlugin> Registrar(PluginStage::Claims);
} // namespace
} // namespace Anvilcart
