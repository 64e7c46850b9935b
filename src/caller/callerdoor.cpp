#include "caller/callerdoor.h"

#include "caller/jobcodec.h"
#include "net/descriptorlimit.h"
#include "net/oneshot.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/leaf/handle_errors.hpp>

namespace Anvilcart
{
namespace asio = boost::asio;
namespace leaf = boost::leaf;

namespace
{
constexpr const char *JobsPath = "/v1/jobs";
constexpr const char *JobPathPrefix = "/v1/jobs/";
constexpr const char *PlainText = "text/plain; version=0.0.4";
constexpr Milliseconds BalancerNotice {1000};
constexpr Milliseconds LastRequestsTime {100};
constexpr int StatusOk = 200;
constexpr int StatusUnavailable = 503;

HttpResponse refusal(ResultCode code, std::string message)
{
    JobAnswer answer;
    answer.code = code;
    answer.message = std::move(message);
    return encodeAnswer(answer);
}

HttpResponse plain(int status, std::string body)
{
    HttpResponse response;
    response.status = status;
    response.contentType = PlainText;
    response.body = std::move(body);
    return response;
}

std::variant<JobSpec, RequestError> readJob(const std::string &body)
{
    using Result = std::variant<JobSpec, RequestError>;
    return leaf::try_handle_all(
        [&]() -> leaf::result<Result> {
            BOOST_LEAF_AUTO(job, decodeJob(body));
            return Result(std::move(job));
        },
        [](const RequestError &error) {
            return Result(error);
        },
        [] {
            return Result(RequestError {ResultCode::InternalError, "the body could not be checked"});
        });
}

HttpLimits callerLimits()
{
    HttpLimits limits;
    limits.connections = defaultDoorConnections();
    return limits;
}
} // namespace

CallerDoor::CallerDoor(
    EventLoops &loops, const Endpoint &endpoint, DispatchService &dispatch, ConfigurationService &configuration, Metrics &metrics)
    : m_dispatch(dispatch)
    , m_configuration(configuration)
    , m_loops(loops)
    , m_metrics(metrics)
    , m_server(
          loops,
          endpoint,
          callerLimits(),
          [this](HttpRequest request, HttpPeer &peer) {
              return handle(std::move(request), peer);
          },
          [](ResultCode code) {
              return refusal(code, std::string(info(code).meaning));
          })
{
}

void CallerDoor::beginDrain()
{
    m_draining.store(true);
    m_server.beginDrain();
    asio::co_spawn(m_loops.at(0), closeAfterNotice(), asio::detached);
}

bool CallerDoor::isDrained() const
{
    return m_closed.load() && m_server.requestsInFlight() == 0;
}

void CallerDoor::stop()
{
    m_server.stop();
}

asio::awaitable<HttpResponse> CallerDoor::handle(HttpRequest request, HttpPeer &peer)
{
    if (request.path == JobsPath) {
        if (request.method != "POST") {
            co_return refusal(ResultCode::MethodNotAllowed, "send jobs with POST");
        }
        co_return co_await submit(request, peer);
    }
    if (request.path.starts_with(JobPathPrefix)) {
        if (request.method != "DELETE") {
            co_return refusal(ResultCode::MethodNotAllowed, "cancel a job with DELETE");
        }
        co_return co_await cancel(request.path.substr(std::string_view(JobPathPrefix).size()));
    }
    if (request.path == "/healthz") {
        co_return plain(StatusOk, "ok\n");
    }
    if (request.path == "/readyz") {
        co_return readiness();
    }
    if (request.path == "/metrics") {
        co_return plain(StatusOk, m_metrics.serialize());
    }
    co_return refusal(ResultCode::UnknownPath, "there is nothing at this path");
}

asio::awaitable<HttpResponse> CallerDoor::submit(const HttpRequest &request, HttpPeer &peer)
{
    auto job = readJob(request.body);
    if (const auto *error = std::get_if<RequestError>(&job)) {
        m_metrics.onAnswer(error->code, Duration::zero());
        co_return refusal(error->code, error->message);
    }
    auto answer = std::make_shared<OneShot<JobAnswer>>(co_await asio::this_coro::executor);
    auto ticket = m_dispatch.submit(std::get<JobSpec>(std::move(job)), [answer](JobAnswer value) {
        answer->set(std::move(value));
    });
    peer.onDisconnect([this, ticket] {
        m_dispatch.withdraw(ticket);
    });
    co_return encodeAnswer(co_await answer->wait());
}

asio::awaitable<HttpResponse> CallerDoor::cancel(std::string submission)
{
    auto cancelled = std::make_shared<OneShot<bool>>(co_await asio::this_coro::executor);
    m_dispatch.cancel(submission, [cancelled](bool found) {
        cancelled->set(found);
    });
    if (!co_await cancelled->wait()) {
        co_return refusal(ResultCode::UnknownSubmission, "submission '" + submission + "' is not in progress on this host");
    }
    HttpResponse response;
    response.body = R"({"cancelled":true})";
    co_return response;
}

asio::awaitable<void> CallerDoor::closeAfterNotice()
{
    asio::steady_timer timer(co_await asio::this_coro::executor, BalancerNotice);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    m_server.stop();
    timer.expires_after(LastRequestsTime);
    co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    m_closed.store(true);
}

HttpResponse CallerDoor::readiness() const
{
    if (m_draining.load()) {
        return plain(StatusUnavailable, "draining\n");
    }
    if (!m_configuration.current()) {
        return plain(StatusUnavailable, "no configuration yet\n");
    }
    return plain(StatusOk, "ready\n");
}
} // namespace Anvilcart
