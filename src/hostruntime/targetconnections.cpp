#include "hostruntime/targetconnections.h"

#include "platform/targetmessages.h"
#include "scheduling/requesttimeout.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <utility>

namespace Anvilcart::Fleet
{
namespace asio = boost::asio;

namespace
{
/// Per target: one for a renewal, which is a long poll, and the others for start and stop requests.
constexpr std::size_t MaxIdleConnections = 3;
} // namespace

struct TargetConnections::Private : std::enable_shared_from_this<TargetConnections::Private>
{
    explicit Private(const asio::any_io_executor &executor)
        : executor(executor)
    {
    }

    struct IdleConnections
    {
        Endpoint endpoint;
        std::vector<std::unique_ptr<HttpConnection>> idle;
        /// When the target was found to have closed all of them; TimePoint() once a later listing was answered.
        TimePoint closedAt;
    };

    /// True while the target may have restarted since its last listing: it has closed the connections that were kept open.
    bool mayHaveRestarted(const TargetEntry &target)
    {
        const auto found = idleConnections.find(target.id);
        if (found == idleConnections.end() || found->second.endpoint != target.endpoint) {
            return false;
        }
        auto &connections = found->second;
        const auto closed = std::erase_if(connections.idle, [](const auto &connection) {
            return !connection->isReusable();
        });
        if (closed > 0 && connections.idle.empty()) {
            connections.closedAt = Clock::now();
        }
        return connections.closedAt != TimePoint();
    }

    void onListed(const std::string &target, TimePoint requestedAt)
    {
        const auto found = idleConnections.find(target);
        if (found != idleConnections.end() && requestedAt >= found->second.closedAt) {
            found->second.closedAt = TimePoint();
        }
    }

    std::unique_ptr<HttpConnection> acquire(const std::string &target, const Endpoint &endpoint)
    {
        auto &connections = idleConnections[target];
        if (connections.endpoint != endpoint) {
            connections.idle.clear();
            connections.endpoint = endpoint;
            connections.closedAt = TimePoint();
        }
        while (!connections.idle.empty()) {
            auto connection = std::move(connections.idle.back());
            connections.idle.pop_back();
            if (connection->isReusable()) {
                return connection;
            }
        }
        return std::make_unique<HttpConnection>(executor, endpoint, std::string());
    }

    void release(const std::string &target, const Endpoint &endpoint, std::unique_ptr<HttpConnection> connection)
    {
        const auto found = idleConnections.find(target);
        if (found != idleConnections.end() && found->second.endpoint == endpoint && found->second.idle.size() < MaxIdleConnections) {
            found->second.idle.push_back(std::move(connection));
        }
    }

    asio::awaitable<void>
    call(std::string target, Endpoint endpoint, HttpCall httpCall, Duration timeout, std::function<void(const HttpReply &)> handler)
    {
        auto connection = acquire(target, endpoint);
        const auto reply = co_await connection->call(std::move(httpCall), timeout);
        if (reply.progress == CallProgress::Answered && reply.keepAlive) {
            release(target, endpoint, std::move(connection));
        }
        handler(reply);
    }

    void spawn(const TargetEntry &target, HttpCall httpCall, Duration timeout, std::function<void(const HttpReply &)> handler)
    {
        asio::co_spawn(executor,
                       call(target.id, target.endpoint, std::move(httpCall), timeout, std::move(handler)),
                       [self = shared_from_this()](const std::exception_ptr &) {});
    }

    /// Sends a start or stop request, which targets answer at once, so that its round trip is that of the link and the two processes.
    void spawnShort(const TargetEntry &target, HttpCall httpCall, std::uint32_t repetitions, std::function<void(const HttpReply &)> handler)
    {
        const auto sentAt = Clock::now();
        const auto timeout = timeoutOfRepetition(requestTimeout.value(), repetitions);
        const auto measure = [this, sentAt, timeout, handler = std::move(handler)](const HttpReply &reply) {
            const auto now = Clock::now();
            if (reply.progress == CallProgress::Answered) {
                requestTimeout.onReply(sentAt, now);
            } else if (now - sentAt >= timeout) {
                requestTimeout.onTimeout(sentAt);
            }
            handler(reply);
        };
        spawn(target, std::move(httpCall), timeout, measure);
    }

    asio::any_io_executor executor;
    RequestTimeout requestTimeout;
    std::map<std::string, IdleConnections> idleConnections;
};

TargetConnections::TargetConnections(const asio::any_io_executor &executor)
    : d(std::make_shared<Private>(executor))
{
}

TargetConnections::~TargetConnections() = default;

void TargetConnections::start(const TargetEntry &target, const StartRequest &request, ReplyHandler handler)
{
    if (d->mayHaveRestarted(target)) {
        TargetReply reply;
        reply.result = RequestResult::ConnectionClosed;
        reply.fencingToken = request.fencingToken;
        asio::post(d->executor, [handler = std::move(handler), reply] {
            handler(reply);
        });
        return;
    }
    d->spawnShort(target,
                  Platform::startCall(target.id, request),
                  request.repetitions,
                  [handler = std::move(handler), token = request.fencingToken](const HttpReply &reply) {
                      auto decoded = Platform::decodeTargetReply(reply);
                      decoded.fencingToken = token;
                      handler(decoded);
                  });
}

void TargetConnections::stop(const TargetEntry &target, const StopRequest &request, ReplyHandler handler)
{
    d->spawnShort(target,
                  Platform::stopCall(target.id, request),
                  request.repetitions,
                  [handler = std::move(handler), token = request.fencingToken](const HttpReply &reply) {
                      auto decoded = Platform::decodeTargetReply(reply);
                      decoded.fencingToken = token;
                      handler(decoded);
                  });
}

void TargetConnections::renew(const TargetEntry &target, const RenewalRequest &request, RenewalHandler handler)
{
    const auto extraTime = d->requestTimeout.value() - TargetRequestTimeout;
    const auto timeout = renewalTimeout(request, extraTime);
    const auto onReply =
        [connections = d.get(), id = target.id, requestedAt = Clock::now(), handler = std::move(handler), request](const HttpReply &reply) {
            auto decoded = Platform::decodeRenewalReply(reply);
            if (decoded.result == RequestResult::Accepted) {
                connections->onListed(id, requestedAt);
            }
            decoded.fencingToken = request.fencingToken;
            decoded.sequence = request.sequence;
            decoded.sentAt = request.sentAt;
            handler(decoded);
        };
    d->spawn(target, Platform::renewalCall(target.id, request), timeout, onReply);
}

void TargetConnections::closeIdleConnections(const std::string &target)
{
    d->idleConnections.erase(target);
}
} // namespace Anvilcart::Fleet
