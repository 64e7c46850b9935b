#include "hostruntime/targetconnections.h"

#include "platform/targetmessages.h"
#include "scheduling/requesttimeout.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace Anvilcart::Fleet
{
namespace asio = boost::asio;

namespace
{
/// Per target: one for a renewal, which is a long poll, and the others for start and stop requests.
constexpr std::size_t MaxIdleConnections = 3;
/// A target that has closed its connections right after this many listings in succession closes each one after its answer, so that a closed
/// connection shows no restart.
constexpr int MaxListingsInSuccession = 3;
} // namespace

struct TargetConnections::Private : std::enable_shared_from_this<TargetConnections::Private>
{
    explicit Private(const asio::any_io_executor &executor)
        : executor(executor)
    {
    }

    struct Connections
    {
        Endpoint endpoint;
        std::vector<std::unique_ptr<HttpConnection>> idle;
        std::set<const HttpConnection *> inUse;
        /// When the target was found to have closed all of them; TimePoint() once a later listing was answered.
        TimePoint closedAt;
        /// A start was not sent for that.
        bool hasHeldStart = false;
        /// Listings for starts that were not sent, since a connection was last used again.
        int listingsInSuccession = 0;

        bool hasOpenConnection() const
        {
            return !idle.empty() || std::any_of(inUse.begin(), inUse.end(), [](const auto *connection) {
                return connection->isOpen();
            });
        }

        void onConnectionsClosed()
        {
            if (!hasOpenConnection() && listingsInSuccession < MaxListingsInSuccession) {
                closedAt = Clock::now();
            }
        }

        /// Drops the idle connections that the target has closed, up to the one that is used next: while that is open, the target has not
        /// restarted, and each look is a system call. A connection in use may be closed too, and its call not have ended yet.
        void removeClosed()
        {
            bool isAnyClosed = false;
            while (!idle.empty() && !idle.back()->isReusable()) {
                idle.pop_back();
                isAnyClosed = true;
            }
            if (!idle.empty()) {
                return;
            }
            isAnyClosed = isAnyClosed || std::any_of(inUse.begin(), inUse.end(), [](const auto *connection) {
                              return connection->isClosedByServer();
                          });
            if (isAnyClosed) {
                onConnectionsClosed();
            }
        }
    };

    Connections *find(const std::string &target, const Endpoint &endpoint)
    {
        const auto found = connectionsByTarget.find(target);
        return found != connectionsByTarget.end() && found->second.endpoint == endpoint ? &found->second : nullptr;
    }

    /// True while the target may have restarted since its last listing: it has closed the connections that were open to it.
    bool mayHaveRestarted(const TargetEntry &target)
    {
        auto *connections = find(target.id, target.endpoint);
        if (connections == nullptr) {
            return false;
        }
        connections->removeClosed();
        return connections->closedAt != TimePoint();
    }

    void onListed(const TargetEntry &target, TimePoint requestedAt)
    {
        auto *connections = find(target.id, target.endpoint);
        if (connections != nullptr && connections->closedAt != TimePoint() && requestedAt >= connections->closedAt) {
            connections->closedAt = TimePoint();
            connections->listingsInSuccession += std::exchange(connections->hasHeldStart, false) ? 1 : 0;
        }
    }

    std::unique_ptr<HttpConnection> acquire(const std::string &target, const Endpoint &endpoint)
    {
        auto &connections = connectionsByTarget[target];
        if (connections.endpoint != endpoint) {
            connections = Connections();
            connections.endpoint = endpoint;
        }
        connections.removeClosed();
        std::unique_ptr<HttpConnection> connection;
        if (connections.idle.empty()) {
            connection = std::make_unique<HttpConnection>(executor, endpoint, std::string());
        } else {
            connection = std::move(connections.idle.back());
            connections.idle.pop_back();
            connections.listingsInSuccession = 0;
        }
        connections.inUse.insert(connection.get());
        return connection;
    }

    void release(const std::string &target, const Endpoint &endpoint, std::unique_ptr<HttpConnection> connection, const HttpReply &reply)
    {
        auto *connections = find(target, endpoint);
        if (connections == nullptr) {
            return;
        }
        connections->inUse.erase(connection.get());
        const bool isAnswered = reply.progress == CallProgress::Answered;
        if (isAnswered && reply.keepAlive && connections->idle.size() < MaxIdleConnections) {
            connections->idle.push_back(std::move(connection));
        } else if (!isAnswered && !reply.timedOut) {
            connections->removeClosed();
            connections->onConnectionsClosed();
        }
    }

    asio::awaitable<void>
    call(std::string target, Endpoint endpoint, HttpCall httpCall, Duration timeout, std::function<void(const HttpReply &)> handler)
    {
        auto connection = acquire(target, endpoint);
        const auto reply = co_await connection->call(std::move(httpCall), timeout);
        release(target, endpoint, std::move(connection), reply);
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
    std::map<std::string, Connections> connectionsByTarget;
};

TargetConnections::TargetConnections(const asio::any_io_executor &executor)
    : d(std::make_shared<Private>(executor))
{
}

TargetConnections::~TargetConnections() = default;

void TargetConnections::start(const TargetEntry &target, const StartRequest &request, ReplyHandler handler)
{
    if (d->mayHaveRestarted(target)) {
        d->connectionsByTarget.at(target.id).hasHeldStart = true;
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
    // What has closed by now is known before the listing is requested, so that its answer covers it.
    d->mayHaveRestarted(target);
    const auto onReply =
        [connections = d.get(), target, requestedAt = Clock::now(), handler = std::move(handler), request](const HttpReply &reply) {
            auto decoded = Platform::decodeRenewalReply(reply);
            if (decoded.result == RequestResult::Accepted) {
                connections->onListed(target, requestedAt);
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
    d->connectionsByTarget.erase(target);
}
} // namespace Anvilcart::Fleet
