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

/// Returns a random number for this process, so that claim IDs of earlier processes on this host are not reused.
std::string makeIncarnation()
{
    std::random_device random;
    return std::to_string((static_cast<std::uint64_t>(random()) << 32U) | random());
}

/// Runs the service that claims idempotency keys in the platform's log.
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
        m_tickSubscription = kernel.timers().subscribe(kernel.decisionExecutor(), TickPeriod, [this](TimePoint now) {
            m_service->tick(now);
        });
    }

    bool isDrained() const override
    {
        return m_service->isIdle();
    }

    void stop() override
    {
        m_tickSubscription.cancel();
    }

private:
    std::unique_ptr<ClaimMetrics> m_metrics;
    std::unique_ptr<ClaimService> m_service;
    TimerSubscription m_tickSubscription;
};

const PluginRegistrar<ClaimsPlugin> Registrar(PluginStage::Claims);
} // namespace
} // namespace Anvilcart
