#pragma once

#include "config/settings.h"
#include "dispatch/dispatchservice.h"
#include "kernel/eventloops.h"
#include "net/httpserver.h"
#include "observe/metrics.h"
#include "operator/hoststatus.h"
#include "publication/configurationservice.h"

#include <atomic>
#include <cstdint>

namespace Anvilcart
{
/// The HTTP door for operators' verbs and for peers that ask for the configuration. It changes nothing.
class OperatorDoor
{
public:
    /// Binds at once; throws boost::system::system_error when the address cannot be bound. The services outlive the door.
    OperatorDoor(
        EventLoops &loops, const Settings &settings, DispatchService &dispatch, ConfigurationService &configuration, Metrics &metrics);

    /// Tells in the status that this host is draining. Thread-safe.
    void beginDrain();

    /// Accepts no more connections. Thread-safe.
    void stop();

private:
    boost::asio::awaitable<HttpResponse> handle(HttpRequest request);
    boost::asio::awaitable<HttpResponse> status();
    HttpResponse record() const;
    void describeConfiguration(HostStatus &status) const;

    std::string m_host;
    std::string m_zone;
    std::uint64_t m_incarnation;
    DispatchService &m_dispatch;
    ConfigurationService &m_configuration;
    Metrics &m_metrics;
    std::atomic<bool> m_draining = false;
    HttpServer m_server;
};
} // namespace Anvilcart
