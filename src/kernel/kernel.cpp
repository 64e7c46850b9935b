#include "kernel/kernel.h"

#include "kernel/pluginregistry.h"

#include <glog/logging.h>

#include <algorithm>
#include <thread>

namespace Anvilcart
{
namespace
{
constexpr Milliseconds PollInterval {10};
/// How long the last answers may take to be written after the drain limit.
constexpr Seconds LastAnswersTime {2};
} // namespace

Kernel::Kernel(std::size_t ioThreads, Duration drainLimit)
    : m_ioLoops(ioThreads)
    , m_decisionLoop(1)
    , m_drainLimit(drainLimit)
{
}

Kernel::~Kernel() = default;

void Kernel::run()
{
    startPlugins();
    while (!m_shutdownRequested.load(std::memory_order_acquire)) {
        std::this_thread::sleep_for(PollInterval);
    }
    drainPlugins();
    stopPlugins();
}

void Kernel::requestShutdown()
{
    m_shutdownRequested.store(true, std::memory_order_release);
}

bool Kernel::isDraining() const
{
    return m_shutdownRequested.load(std::memory_order_acquire);
}

EventLoops &Kernel::ioLoops()
{
    return m_ioLoops;
}

boost::asio::any_io_executor Kernel::decisionExecutor()
{
    return m_decisionLoop.at(0).get_executor();
}

TimerService &Kernel::timers()
{
    return m_timers;
}

void Kernel::startPlugins()
{
    m_plugins = PluginRegistry::instance().createAll();
    for (auto &plugin : m_plugins) {
        plugin->start(*this);
        LOG(INFO) << "kernel: started " << plugin->name();
    }
}

void Kernel::drainPlugins()
{
    LOG(INFO) << "kernel: draining";
    for (auto &plugin : m_plugins) {
        plugin->beginDrain();
    }
    if (waitUntilDrained(m_drainLimit)) {
        return;
    }
    LOG(WARNING) << "kernel: drain limit reached";
    for (auto &plugin : m_plugins) {
        plugin->onDrainLimit();
    }
    waitUntilDrained(LastAnswersTime);
}

bool Kernel::waitUntilDrained(Duration limit) const
{
    const auto end = Clock::now() + limit;
    while (!allDrained()) {
        if (Clock::now() >= end) {
            return false;
        }
        std::this_thread::sleep_for(PollInterval);
    }
    return true;
}

void Kernel::stopPlugins()
{
    for (auto plugin = m_plugins.rbegin(); plugin != m_plugins.rend(); ++plugin) {
        (*plugin)->stop();
    }
    m_decisionLoop.stop();
    m_ioLoops.stop();
    LOG(INFO) << "kernel: stopped";
}

bool Kernel::allDrained() const
{
    return std::all_of(m_plugins.begin(), m_plugins.end(), [](const auto &plugin) {
        return plugin->isDrained();
    });
}
} // namespace Anvilcart
