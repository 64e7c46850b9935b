#pragma once

#include "fleet/hostnode.h"
#include "hostruntime/hosttelemetry.h"
#include "net/http.h"
#include "net/oneshot.h"
#include "workload/routetable.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Anvilcart::Fleet
{
/// Handles callers' HTTP requests: finds the route, decodes the job, submits it to the node and waits for its answer.
/// Belongs to one executor. The host knows a job by its key, which is made here (see makeJobKey()).
class CallerRequestHandler
{
public:
    /// The node and the telemetry must outlive this object.
    CallerRequestHandler(const boost::asio::any_io_executor &executor, HostNode &node, HostTelemetry &telemetry);

    /// Sets when the process's timer is due next; the log tells how late it is.
    void onTick(TimePoint nextTickAt);

    /// Replaces the configuration in force.
    void setRoutes(std::shared_ptr<const RouteTable> routes);

    /// The configuration in force, or null.
    const std::shared_ptr<const RouteTable> &routes() const;

    /// Handles one request; peer reports when its caller disconnects.
    boost::asio::awaitable<HttpResponse> handle(HttpRequest request, HttpPeer &peer);

    /// Passes the outcome of a request to cancel a job to every caller that asked for it.
    void onCancelDecided(const std::string &key, CancelOutcome outcome);

    /// Passes the answer of a job to every caller that waits for it.
    void onAnswer(const std::string &key, const CallerReply &reply);

    /// Looks at the connections of the callers that wait for this job: false when all of them have been closed.
    bool isCallerConnected(const std::string &key) const;

private:
    /// A caller that waits for its answer. The peer lives at least until the answer is set.
    struct Waiter
    {
        std::shared_ptr<OneShot<CallerReply>> reply;
        HttpPeer *peer = nullptr;
    };

    boost::asio::awaitable<HttpResponse>
    submit(HttpRequest request, HttpPeer &peer, std::shared_ptr<const RouteTable> routes, const Route *route, std::string id);
    HttpResponse refuse(const std::string &key, int status, const std::string &reason, Duration retryAfter);
    boost::asio::awaitable<HttpResponse> cancel(std::string key);
    void onCallerDisconnected(const std::string &key, const Waiter &waiter, TimePoint connectedAt);
    Duration tickDelay(TimePoint now) const;

    boost::asio::any_io_executor m_executor;
    HostNode &m_node;
    HostTelemetry &m_telemetry;
    std::shared_ptr<const RouteTable> m_routes;
    std::map<std::string, std::vector<Waiter>> m_waiters;
    TimePoint m_nextTickAt;
    std::map<std::string, std::vector<std::shared_ptr<OneShot<CancelOutcome>>>> m_cancelWaiters;
};
} // namespace Anvilcart::Fleet
