#pragma once

#include "dispatch/dispatchservice.h"
#include "kernel/eventloops.h"
#include "net/httpserver.h"
#include "observe/metrics.h"
#include "publication/configurationservice.h"

#include <atomic>
#include <memory>

namespace Anvilcart
{
/// The HTTP door for callers and for the balancer.
class CallerDoor
{
public:
    /// Binds at once; throws boost::system::system_error when the address cannot be bound. The services outlive the door.
    CallerDoor(
        EventLoops &loops, const Endpoint &endpoint, DispatchService &dispatch, ConfigurationService &configuration, Metrics &metrics);

    /// Answers /readyz with 503 from now on; submissions in progress go on. For as long as the balancer needs to notice, connections
    /// are still taken. Thread-safe.
    void beginDrain();

    /// True when the drain has closed the door and no request is being handled. Thread-safe.
    bool isDrained() const;

    /// Accepts no more connections. Thread-safe.
    void stop();

private:
    boost::asio::awaitable<HttpResponse> handle(HttpRequest request, HttpPeer &peer);
    boost::asio::awaitable<HttpResponse> submit(const HttpRequest &request, HttpPeer &peer);
    boost::asio::awaitable<HttpResponse> cancel(std::string submission);
    HttpResponse readiness() const;
    boost::asio::awaitable<void> closeAfterNotice();

    DispatchService &m_dispatch;
    ConfigurationService &m_configuration;
    EventLoops &m_loops;
    Metrics &m_metrics;
    std::atomic<bool> m_draining = false;
    std::atomic<bool> m_closed = false;
    HttpServer m_server;
};
} // namespace Anvilcart
