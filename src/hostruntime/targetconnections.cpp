#include "hostruntime/targetconnections.h"

#include "platform/targetmessages.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <utility>

namespace Anvilcart::Fleet
{
namespace asio = boost::asio;

namespace
{
/// One connection waits in a renewal, the others carry orders.
constexpr std::size_t KeptConnections = 3;
} // namespace

struct TargetConnections::Private : std::enable_shared_from_this<TargetConnections::Private>
{
    explicit Private(const asio::any_io_executor &executor)
        : executor(executor)
    {
    }

    struct Kept
    {
        Endpoint endpoint;
        std::vector<std::unique_ptr<HttpConnection>> idle;
    };

    std::unique_ptr<HttpConnection> take(const std::string &target, const Endpoint &endpoint)
    {
        auto &connections = kept[target];
        if (connections.endpoint != endpoint) {
            connections.idle.clear();
            connections.endpoint = endpoint;
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

    void giveBack(const std::string &target, const Endpoint &endpoint, std::unique_ptr<HttpConnection> connection)
    {
        const auto found = kept.find(target);
        if (found != kept.end() && found->second.endpoint == endpoint && found->second.idle.size() < KeptConnections) {
            found->second.idle.push_back(std::move(connection));
        }
    }

    asio::awaitable<void>
    call(std::string target, Endpoint endpoint, HttpCall httpCall, Duration limit, std::function<void(const HttpReply &)> handler)
    {
        auto connection = take(target, endpoint);
        const auto reply = co_await connection->call(std::move(httpCall), limit);
        if (reply.progress == CallProgress::Answered && reply.keepAlive) {
            giveBack(target, endpoint, std::move(connection));
        }
        handler(reply);
    }

    void spawn(const TargetEntry &target, HttpCall httpCall, Duration limit, std::function<void(const HttpReply &)> handler)
    {
        asio::co_spawn(executor,
                       call(target.id, target.endpoint, std::move(httpCall), limit, std::move(handler)),
                       [self = shared_from_this()](const std::exception_ptr &) {});
    }

    asio::any_io_executor executor;
    std::map<std::string, Kept> kept;
};

TargetConnections::TargetConnections(const asio::any_io_executor &executor)
    : d(std::make_shared<Private>(executor))
{
}

TargetConnections::~TargetConnections() = default;

void TargetConnections::start(const TargetEntry &target, const StartRequest &order, OrderHandler handler)
{
    d->spawn(target,
             Platform::startCall(target.id, order),
             TargetRequestTimeout,
             [handler = std::move(handler), token = order.fencingToken](const HttpReply &reply) {
                 auto decoded = Platform::decodeTargetReply(reply);
                 decoded.fencingToken = token;
                 handler(decoded);
             });
}

void TargetConnections::stop(const TargetEntry &target, const StopRequest &order, OrderHandler handler)
{
    d->spawn(target,
             Platform::stopCall(target.id, order),
             TargetRequestTimeout,
             [handler = std::move(handler), token = order.fencingToken](const HttpReply &reply) {
                 auto decoded = Platform::decodeTargetReply(reply);
                 decoded.fencingToken = token;
                 handler(decoded);
             });
}

void TargetConnections::renew(const TargetEntry &target, const RenewalRequest &order, RenewalHandler handler)
{
    const auto limit = Milliseconds(order.waitMs) + RenewalTimeoutMargin;
    d->spawn(target,
             Platform::renewalCall(target.id, order),
             limit,
             [handler = std::move(handler), token = order.fencingToken](const HttpReply &reply) {
                 auto decoded = Platform::decodeRenewalReply(reply);
                 decoded.fencingToken = token;
                 handler(decoded);
             });
}

void TargetConnections::forget(const std::string &target)
{
    d->kept.erase(target);
}
} // namespace Anvilcart::Fleet
