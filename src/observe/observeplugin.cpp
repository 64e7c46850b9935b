#include "kernel/kernel.h"
#include "kernel/pluginregistry.h"
#include "observe/metrics.h"

#include <glog/logging.h>

namespace Anvilcart
{
namespace
{
constexpr Seconds LogPeriod {10};

/// Provides the metrics to every other part, and logs what was refused.
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
        m_timer = kernel.timers().subscribe(kernel.decisionExecutor(), LogPeriod, [this](TimePoint) {
            logRefusals();
        });
    }

    void stop() override
    {
        m_timer.cancel();
    }

private:
    void logRefusals()
    {
        for (const auto &line : m_answerLog.linesFor(m_metrics.answerCounts())) {
            LOG(INFO) << line;
        }
    }

    Metrics m_metrics;
    AnswerLog m_answerLog;
    TimerSubscription m_timer;
};

const PluginRegistrar<ObservePlugin> Registrar(PluginStage::Observation);
} // namespace
} // namespace Anvilcart
