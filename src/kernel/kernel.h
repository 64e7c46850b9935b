#pragma once

#include "kernel/eventloops.h"
#include "kernel/interfaces/plugin.h"
#include "kernel/timerservice.h"

#include <boost/asio/any_io_executor.hpp>

#include <any>
#include <atomic>
#include <memory>
#include <stdexcept>
#include <typeindex>
#include <unordered_map>
#include <vector>

namespace Anvilcart
{
/// Owns the event loops and the plug-ins of one daemon, and hands services from one plug-in to the next.
class Kernel
{
public:
    /// Precondition: ioThreads is at least 1.
    Kernel(std::size_t ioThreads, Duration drainLimit);
    ~Kernel();

    /// Starts every registered plug-in, runs until a shutdown is requested, drains and stops. Blocks.
    void run();

    /// Begins the graceful shutdown. Thread-safe and idempotent.
    void requestShutdown();

    /// True from the request of a shutdown on. Thread-safe.
    bool isDraining() const;

    /// The loops for connections. Thread-safe.
    EventLoops &ioLoops();

    /// The loop on which all decisions are made, one after another. Thread-safe.
    boost::asio::any_io_executor decisionExecutor();

    /// Periodic calls. Thread-safe.
    TimerService &timers();

    /// Offers a service to plug-ins of the same or a later stage. The service outlives the kernel's run().
    template<typename Service>
    void provide(Service &service)
    {
        m_services[std::type_index(typeid(Service))] = &service;
    }

    /// A service that was provided. Throws std::logic_error when there is none: the stages are wrong.
    template<typename Service>
    Service &service() const
    {
        const auto found = m_services.find(std::type_index(typeid(Service)));
        if (found == m_services.end()) {
            throw std::logic_error(std::string("no plug-in provides ") + typeid(Service).name());
        }
        return *std::any_cast<Service *>(found->second);
    }

private:
    void startPlugins();
    void drainPlugins();
    void stopPlugins();
    bool waitUntilDrained(Duration limit) const;
    bool allDrained() const;

    EventLoops m_ioLoops;
    EventLoops m_decisionLoop;
    TimerService m_timers;
    Duration m_drainLimit;
    std::atomic<bool> m_shutdownRequested = false;
    std::unordered_map<std::type_index, std::any> m_services;
    std::vector<std::unique_ptr<Plugin>> m_plugins;
};
} // namespace Anvilcart
