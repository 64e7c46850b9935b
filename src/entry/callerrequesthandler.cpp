#include "entry/callerrequesthandler.h"

#include "entry/callerlimit.h"
#include "platform/jobmessages.h"
#include "platform/names.h"
#include "workload/jobkey.h"
#include "workload/supportedfeatures.h"

#include <algorithm>
#include <utility>

namespace Anvilcart::Fleet
{
namespace asio = boost::asio;

namespace
{
constexpr int Ok = 200;
constexpr int BadRequest = 400;
constexpr int NotFound = 404;
constexpr int MethodNotAllowed = 405;
constexpr int Gone = 410;
constexpr int ServiceUnavailable = 503;
constexpr int GatewayTimeout = 504;
/// The answer is sent this long before the caller's timeout: up to 3 ms of network delay each way, and timer delays.
constexpr Milliseconds AnswerMargin {12};

HttpResponse makeResponse(int status, std::string body)
{
    HttpResponse answer;
    answer.status = status;
    answer.body = std::move(body);
    return answer;
}
} // namespace

CallerRequestHandler::CallerRequestHandler(const asio::any_io_executor &executor, HostNode &node, HostTelemetry &telemetry)
    : m_executor(executor)
    , m_node(node)
    , m_telemetry(telemetry)
{
}

void CallerRequestHandler::setRoutes(std::shared_ptr<const RouteTable> routes)
{
    m_routes = std::move(routes);
}

const std::shared_ptr<const RouteTable> &CallerRequestHandler::routes() const
{
    return m_routes;
}

HttpResponse CallerRequestHandler::refuse(const std::string &key, int status, const std::string &reason, Duration retryAfter)
{
    m_telemetry.onRequestRefused(key, status, reason, m_routes ? m_routes->version() : 0);
    auto answer = makeResponse(status, Platform::encodeError(reason));
    if (retryAfter > Duration(0)) {
        const auto seconds = std::max<std::int64_t>(1, std::chrono::duration_cast<Seconds>(retryAfter).count());
        answer.headers.push_back({"Retry-After", std::to_string(seconds)});
    }
    return answer;
}

void CallerRequestHandler::onTick(TimePoint nextTickAt)
{
    m_nextTickAt = nextTickAt;
}

Duration CallerRequestHandler::tickDelay(TimePoint now) const
{
    return m_nextTickAt == TimePoint() ? Duration(0) : std::max<Duration>(now - m_nextTickAt, Duration(0));
}

asio::awaitable<HttpResponse> CallerRequestHandler::handle(HttpRequest request, HttpPeer &peer)
{
    const auto routes = m_routes;
    if (!routes) {
        co_return refuse({}, ServiceUnavailable, "no configuration yet", Seconds(1));
    }
    const auto *route = routes->find(request.header("Host"), request.path);
    if (route == nullptr) {
        co_return refuse({}, NotFound, "no such queue", Duration(0));
    }
    const auto id = request.path.substr(route->pathPrefix.size());
    if (id.empty() && request.method == "GET") {
        co_return makeResponse(Ok, Platform::encodeQueueLength(m_node.waitingJobCount(route->name)));
    }
    if (request.method == "POST") {
        co_return co_await submit(std::move(request), peer, routes, route, id);
    }
    if (!Platform::isJobId(id)) {
        co_return refuse(id, NotFound, "the path does not end in a job's id", Duration(0));
    }
    if (request.method == "GET") {
        // A job is answered on completion and not stored afterwards, so there is no state to return.
        co_return makeResponse(Gone, Platform::encodeError("no such job"));
    }
    if (request.method == "DELETE") {
        co_return co_await cancel(makeJobKey(id, route->name));
    }
    co_return refuse(id, MethodNotAllowed, "the method must be POST, GET or DELETE", Duration(0));
}

asio::awaitable<HttpResponse> CallerRequestHandler::submit(
    HttpRequest request, HttpPeer &peer, [[maybe_unused]] std::shared_ptr<const RouteTable> routes, const Route *route, std::string id)
{
    auto decoding = Platform::decodeJob(id, request.body);
    const auto key = makeJobKey(id, route->name);
    if (!decoding.job) {
        co_return refuse(key, BadRequest, decoding.error, Duration(0));
    }
    if (const auto *feature = unsupportedFeature(*decoding.job, *route)) {
        co_return refuse(key, ServiceUnavailable, std::string("not supported: ") + feature, Seconds(60));
    }
    // A job may wait for long; its decoded form is enough.
    request.body = std::string();
    const auto now = Clock::now();
    const Waiter waiter {std::make_shared<OneShot<CallerReply>>(m_executor), &peer};
    auto &waiters = m_waiters[key];
    waiters.push_back(waiter);
    m_telemetry.onJobRead(key, peer.isConnected(), tickDelay(now));
    peer.onDisconnect([this, key, waiter, now] {
        onCallerDisconnected(key, waiter, now);
    });
    if (waiters.size() == 1) {
        JobSubmission submission;
        submission.request = std::move(*decoding.job);
        submission.request.id = key;
        submission.route = route->name;
        submission.service = route->service;
        submission.priority = route->priority;
        submission.maxAttempts = route->maxAttempts;
        submission.stretchFactor = route->stretchFactor;
        submission.targetLatency = route->targetLatency;
        submission.arrivedAt = now;
        submission.callerDeadline = now + callerLimit(request.header(Platform::Names::CallerTimeoutHeader), *route) - AnswerMargin;
        m_node.submit(std::move(submission), now);
    }
    const auto reply = co_await waiter.reply->wait();
    switch (reply.answer) {
    case CallerAnswer::Completed:
        co_return makeResponse(Ok, Platform::encodeJobResult(true));
    case CallerAnswer::Failed:
        co_return makeResponse(Ok, Platform::encodeJobResult(false));
    case CallerAnswer::NotRun:
        co_return refuse(key, ServiceUnavailable, reply.reason, std::max<Duration>(reply.retryAfter, Seconds(1)));
    case CallerAnswer::Cancelled:
        // Final, unlike 504. A rejection would say that no task has run, which may be untrue.
        co_return makeResponse(Ok, Platform::encodeCancelledJob());
    case CallerAnswer::Unknown:
        break;
    }
    co_return refuse(key, GatewayTimeout, reply.reason, Duration(0));
}

void CallerRequestHandler::onAnswer(const std::string &key, const CallerReply &reply)
{
    const auto found = m_waiters.find(key);
    if (found == m_waiters.end()) {
        return;
    }
    for (const auto &waiter : found->second) {
        waiter.reply->set(reply);
    }
    m_waiters.erase(found);
}

bool CallerRequestHandler::isCallerConnected(const std::string &key) const
{
    const auto found = m_waiters.find(key);
    return found != m_waiters.end() && std::any_of(found->second.begin(), found->second.end(), [](const Waiter &waiter) {
               return waiter.peer->isConnected();
           });
}

void CallerRequestHandler::onCallerDisconnected(const std::string &key, const Waiter &waiter, TimePoint connectedAt)
{
    const auto now = Clock::now();
    m_telemetry.onCallerDisconnected(key, now - connectedAt, tickDelay(now));
    CallerReply reply;
    reply.reason = "caller has gone";
    waiter.reply->set(reply);
    const auto found = m_waiters.find(key);
    if (found == m_waiters.end()) {
        return;
    }
    std::erase_if(found->second, [&waiter](const Waiter &other) {
        return other.reply == waiter.reply;
    });
    if (found->second.empty()) {
        m_waiters.erase(found);
        m_node.cancel(key, now);
    }
}

asio::awaitable<HttpResponse> CallerRequestHandler::cancel(std::string key)
{
    auto waiter = std::make_shared<OneShot<CancelOutcome>>(m_executor);
    m_cancelWaiters[key].push_back(waiter);
    m_node.requestCancel(key, Clock::now());
    switch (co_await waiter->wait()) {
    case CancelOutcome::Cancelled:
        co_return makeResponse(Ok, Platform::encodeError("cancelled"));
    case CancelOutcome::NoSuchJob:
        co_return makeResponse(Gone, Platform::encodeError("no such job"));
    case CancelOutcome::Undecided:
        break;
    }
    co_return refuse(key, ServiceUnavailable, "a host that may have the job does not answer", Seconds(1));
}

void CallerRequestHandler::onCancelDecided(const std::string &key, CancelOutcome outcome)
{
    const auto waiters = m_cancelWaiters.extract(key);
    if (waiters) {
        for (const auto &waiter : waiters.mapped()) {
            waiter->set(outcome);
        }
    }
}
} // namespace Anvilcart::Fleet
