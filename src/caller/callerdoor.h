#pragma once

#include "dispatch/dispatchservice.h"
#include "kernel/eventloops.h"
#include "net/httpserver.h"
#include "observe/metrics.h"
#include "platform/configurationservice.h"

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

    /// Answers /readyz with 503 from now on; submissions in progress go on. Thread-safe.
    void beginDrain();

    /// True when no request is being handled. Thread-safe.
    bool isIdle() const;

    /// Accepts no more connections. Thread-safe.
    void stop();

private:
    boost::asio::awaitable<HttpResponse> handle(HttpRequest request, HttpPeer &peer);
    boost::asio::awaitable<HttpResponse> submit(const HttpRequest &request, HttpPeer &peer);
    boost::asio::awaitable<HttpResponse> cancel(std::string submission);
    HttpResponse readiness() const;

    DispatchService &m_dispatch;
    ConfigurationService &m_configuration;
    Metrics &m_metrics;
    std::atomic<bool> m_draining = false;
    HttpServer m_server;
};
} // namespace Anvilcart
