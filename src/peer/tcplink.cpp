#include "peer/tcplink.h"

#include "kernel/time.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>
#include <boost/system/system_error.hpp>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdint>
#include <cstring>
#include <deque>
#include <map>
#include <stdexcept>
#include <thread>
#include <utility>

namespace Anvilcart
{
namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{
constexpr auto Awaitable = asio::as_tuple(asio::use_awaitable);
/// Limit of queued messages to a peer. Each heartbeat repeats the state, so a longer queue would only hold outdated messages.
constexpr std::size_t MaxQueuedMessages = 64;
/// Several round trips between zones.
constexpr Milliseconds MinRetryDelay {50};
/// A restarting host is reachable again within seconds.
constexpr Milliseconds MaxRetryDelay {1000};
constexpr Milliseconds AcceptRetryDelay {50};

tcp::endpoint toTcpEndpoint(const Endpoint &endpoint)
{
    return {asio::ip::make_address(endpoint.address), endpoint.port};
}

std::string withLengthPrefix(const std::string &message)
{
    const auto length = boost::endian::native_to_big(static_cast<std::uint32_t>(message.size()));
    std::string bytes(sizeof(length), '\0');
    std::memcpy(bytes.data(), &length, sizeof(length));
    return bytes + message;
}

/// The outgoing connection to one peer. All members except the atomic counter are used only on the link's thread.
class OutgoingConnection : public std::enable_shared_from_this<OutgoingConnection>
{
public:
    OutgoingConnection(asio::io_context &context, Endpoint endpoint)
        : m_context(context)
        , m_endpoint(std::move(endpoint))
        , m_socket(context)
        , m_queueTimer(context)
        , m_retryTimer(context)
    {
    }

    void start()
    {
        asio::co_spawn(
            m_context,
            [self = shared_from_this()] {
                return self->run();
            },
            asio::detached);
    }

    /// Thread-safe.
    bool send(const std::string &message)
    {
        if (m_queued >= MaxQueuedMessages) {
            return false;
        }
        ++m_queued;
        asio::post(m_context, [self = shared_from_this(), bytes = withLengthPrefix(message)]() mutable {
            self->m_queue.push_back(std::move(bytes));
            self->m_queueTimer.cancel();
        });
        return true;
    }

    /// Thread-safe.
    void close()
    {
        asio::post(m_context, [self = shared_from_this()] {
            self->m_stopped = true;
            self->m_retryTimer.cancel();
            self->closeSocket();
        });
    }

    const Endpoint &endpoint() const
    {
        return m_endpoint;
    }

private:
    asio::awaitable<void> run()
    {
        Duration retryDelay = MinRetryDelay;
        while (!m_stopped) {
            m_socket = tcp::socket(m_context);
            const auto [error] = co_await m_socket.async_connect(toTcpEndpoint(m_endpoint), Awaitable);
            if (!error) {
                retryDelay = MinRetryDelay;
                watchForClose();
                co_await writeQueue();
            }
            if (!m_stopped) {
                m_retryTimer.expires_after(retryDelay);
                co_await m_retryTimer.async_wait(Awaitable);
                retryDelay = std::min<Duration>(retryDelay * 2, MaxRetryDelay);
            }
        }
    }

    asio::awaitable<void> writeQueue()
    {
        while (!m_stopped && m_socket.is_open()) {
            if (m_queue.empty()) {
                m_queueTimer.expires_at(TimePoint::max());
                co_await m_queueTimer.async_wait(Awaitable);
                continue;
            }
            const auto bytes = std::move(m_queue.front());
            m_queue.pop_front();
            --m_queued;
            const auto [error, written] = co_await asio::async_write(m_socket, asio::buffer(bytes), Awaitable);
            if (error) {
                closeSocket();
            }
        }
    }

    /// The peer sends nothing on this connection, so a completed read means that the peer closed it.
    void watchForClose()
    {
        m_socket.async_read_some(asio::buffer(m_readBuffer), [self = shared_from_this()](boost::system::error_code error, std::size_t) {
            if (error != asio::error::operation_aborted) {
                self->closeSocket();
            }
        });
    }

    void closeSocket()
    {
        boost::system::error_code ignored;
        m_socket.close(ignored);
        m_queueTimer.cancel();
    }

    asio::io_context &m_context;
    Endpoint m_endpoint;
    tcp::socket m_socket;
    asio::steady_timer m_queueTimer;
    asio::steady_timer m_retryTimer;
    std::deque<std::string> m_queue;
    std::atomic<std::size_t> m_queued {0};
    std::array<char, 1> m_readBuffer {};
    bool m_stopped = false;
};
} // namespace

struct TcpLink::Private
{
    /// A connection that was accepted.
    struct Incoming
    {
        tcp::socket socket;
        /// A whole message has arrived on it.
        bool hasDelivered = false;
    };

    Private(const Endpoint &endpoint, std::size_t maxBytes, std::size_t connections, Receiver messageReceiver)
        : receiver(std::move(messageReceiver))
        , maxMessageBytes(maxBytes)
        , maxIncoming(connections)
        , acceptor(context)
        , workGuard(context.get_executor())
    {
        const auto tcpEndpoint = toTcpEndpoint(endpoint);
        acceptor.open(tcpEndpoint.protocol());
        acceptor.set_option(tcp::acceptor::reuse_address(true));
        acceptor.bind(tcpEndpoint);
        acceptor.listen();
    }

    asio::awaitable<void> acceptConnections()
    {
        while (acceptor.is_open()) {
            auto [error, socket] = co_await acceptor.async_accept(Awaitable);
            if (error == asio::error::operation_aborted) {
                co_return;
            }
            if (error == asio::error::no_descriptors) {
                closeLeastUseful();
            }
            if (error) {
                asio::steady_timer pause(context, AcceptRetryDelay);
                co_await pause.async_wait(Awaitable);
                continue;
            }
            if (incoming.size() < maxIncoming || closeLeastUseful()) {
                const auto connection = std::make_shared<Incoming>(Incoming {std::move(socket)});
                incoming[++lastAccepted] = connection;
                asio::co_spawn(context, receiveMessages(connection, lastAccepted), asio::detached);
            }
        }
    }

    /// Closes the oldest connection on which no message has arrived; false if there is none.
    bool closeLeastUseful()
    {
        const auto oldest = std::find_if(incoming.begin(), incoming.end(), [](const auto &entry) {
            return !entry.second->hasDelivered;
        });
        if (oldest == incoming.end()) {
            return false;
        }
        boost::system::error_code ignored;
        oldest->second->socket.close(ignored);
        incoming.erase(oldest);
        return true;
    }

    asio::awaitable<void> receiveMessages(std::shared_ptr<Incoming> connection, std::uint64_t number)
    {
        auto &socket = connection->socket;
        while (socket.is_open()) {
            std::uint32_t length = 0;
            const auto [lengthError, lengthBytes] = co_await asio::async_read(socket, asio::buffer(&length, sizeof(length)), Awaitable);
            boost::endian::big_to_native_inplace(length);
            if (lengthError || length > maxMessageBytes) {
                break;
            }
            std::string message(length, '\0');
            const auto [error, bytes] = co_await asio::async_read(socket, asio::buffer(message), Awaitable);
            if (error) {
                break;
            }
            connection->hasDelivered = true;
            receiver(std::move(message));
        }
        incoming.erase(number);
    }

    void closeIncoming()
    {
        boost::system::error_code ignored;
        acceptor.close(ignored);
        for (const auto &[number, connection] : incoming) {
            connection->socket.close(ignored);
        }
    }

    Receiver receiver;
    std::size_t maxMessageBytes;
    std::size_t maxIncoming;
    asio::io_context context;
    tcp::acceptor acceptor;
    asio::executor_work_guard<asio::io_context::executor_type> workGuard;
    /// In the order in which they were accepted.
    std::map<std::uint64_t, std::shared_ptr<Incoming>> incoming;
    std::uint64_t lastAccepted = 0;
    std::map<std::string, std::shared_ptr<OutgoingConnection>> connections;
    std::thread thread;
};

TcpLink::TcpLink(const Endpoint &endpoint, std::size_t maxMessageBytes, std::size_t maxIncoming, Receiver receiver)
{
    try {
        d = std::make_unique<Private>(endpoint, maxMessageBytes, maxIncoming, std::move(receiver));
    } catch (const boost::system::system_error &error) {
        throw std::runtime_error("peer: cannot listen on " + toString(endpoint) + ": " + error.code().message());
    }
    asio::co_spawn(d->context, d->acceptConnections(), asio::detached);
    d->thread = std::thread([this] {
        d->context.run();
    });
}

TcpLink::~TcpLink()
{
    stopReceiving();
    for (const auto &[host, peer] : d->connections) {
        peer->close();
    }
    d->workGuard.reset();
    d->thread.join();
}

void TcpLink::stopReceiving()
{
    asio::post(d->context, asio::use_future([this] {
                   d->closeIncoming();
               }))
        .wait();
}

void TcpLink::connect(const std::string &host, const Endpoint &endpoint)
{
    auto &peer = d->connections[host];
    if (peer && peer->endpoint() == endpoint) {
        return;
    }
    if (peer) {
        peer->close();
    }
    peer = std::make_shared<OutgoingConnection>(d->context, endpoint);
    peer->start();
}

void TcpLink::disconnect(const std::string &host)
{
    const auto found = d->connections.find(host);
    if (found != d->connections.end()) {
        found->second->close();
        d->connections.erase(found);
    }
}

bool TcpLink::send(const std::string &host, const std::string &message)
{
    const auto found = d->connections.find(host);
    return found != d->connections.end() && found->second->send(message);
}
} // namespace Anvilcart
