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
#include <set>
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
/// Messages that wait for a peer; state is told again with the next heartbeat, so more would only be older.
constexpr std::size_t MaxQueuedMessages = 64;
/// Several round trips between zones.
constexpr Milliseconds ShortestRetryPause {50};
/// A host that restarts is back within seconds.
constexpr Milliseconds LongestRetryPause {1000};

tcp::endpoint toEndpoint(const Endpoint &door)
{
    return {asio::ip::make_address(door.address), door.port};
}

std::string withLength(const std::string &message)
{
    const auto length = boost::endian::native_to_big(static_cast<std::uint32_t>(message.size()));
    std::string bytes(sizeof(length), '\0');
    std::memcpy(bytes.data(), &length, sizeof(length));
    return bytes + message;
}

/// The connection to one peer. Its members but the counter belong to the link's thread.
class OutgoingConnection : public std::enable_shared_from_this<OutgoingConnection>
{
public:
    OutgoingConnection(asio::io_context &context, Endpoint door)
        : m_context(context)
        , m_door(std::move(door))
        , m_socket(context)
        , m_wake(context)
        , m_retry(context)
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

    /// From any thread.
    bool send(const std::string &message)
    {
        if (m_queued >= MaxQueuedMessages) {
            return false;
        }
        ++m_queued;
        asio::post(m_context, [self = shared_from_this(), bytes = withLength(message)]() mutable {
            self->m_queue.push_back(std::move(bytes));
            self->m_wake.cancel();
        });
        return true;
    }

    /// From any thread.
    void close()
    {
        asio::post(m_context, [self = shared_from_this()] {
            self->m_stopped = true;
            self->m_retry.cancel();
            self->drop();
        });
    }

    const Endpoint &door() const
    {
        return m_door;
    }

private:
    asio::awaitable<void> run()
    {
        Duration pause = ShortestRetryPause;
        while (!m_stopped) {
            m_socket = tcp::socket(m_context);
            const auto [error] = co_await m_socket.async_connect(toEndpoint(m_door), Awaitable);
            if (!error) {
                pause = ShortestRetryPause;
                watch();
                co_await writeQueue();
            }
            if (!m_stopped) {
                m_retry.expires_after(pause);
                co_await m_retry.async_wait(Awaitable);
                pause = std::min<Duration>(pause * 2, LongestRetryPause);
            }
        }
    }

    asio::awaitable<void> writeQueue()
    {
        while (!m_stopped && m_socket.is_open()) {
            if (m_queue.empty()) {
                m_wake.expires_at(TimePoint::max());
                co_await m_wake.async_wait(Awaitable);
                continue;
            }
            const auto bytes = std::move(m_queue.front());
            m_queue.pop_front();
            --m_queued;
            const auto [error, written] = co_await asio::async_write(m_socket, asio::buffer(bytes), Awaitable);
            if (error) {
                drop();
            }
        }
    }

    /// The peer sends nothing on this connection; an answer to the read means that it has closed it.
    void watch()
    {
        m_socket.async_read_some(asio::buffer(m_unread), [self = shared_from_this()](boost::system::error_code error, std::size_t) {
            if (error != asio::error::operation_aborted) {
                self->drop();
            }
        });
    }

    void drop()
    {
        boost::system::error_code ignored;
        m_socket.close(ignored);
        m_wake.cancel();
    }

    asio::io_context &m_context;
    Endpoint m_door;
    tcp::socket m_socket;
    asio::steady_timer m_wake;
    asio::steady_timer m_retry;
    std::deque<std::string> m_queue;
    std::atomic<std::size_t> m_queued {0};
    std::array<char, 1> m_unread {};
    bool m_stopped = false;
};
} // namespace

struct TcpLink::Private
{
    Private(const Endpoint &door, std::size_t maxBytes, Receiver messageReceiver)
        : receiver(std::move(messageReceiver))
        , maxMessageBytes(maxBytes)
        , acceptor(context)
        , work(context.get_executor())
    {
        const auto endpoint = toEndpoint(door);
        acceptor.open(endpoint.protocol());
        acceptor.set_option(tcp::acceptor::reuse_address(true));
        acceptor.bind(endpoint);
        acceptor.listen();
    }

    asio::awaitable<void> accept()
    {
        while (acceptor.is_open()) {
            auto [error, socket] = co_await acceptor.async_accept(Awaitable);
            if (!error) {
                auto shared = std::make_shared<tcp::socket>(std::move(socket));
                incoming.insert(shared);
                asio::co_spawn(context, receive(shared), asio::detached);
            }
        }
    }

    asio::awaitable<void> receive(std::shared_ptr<tcp::socket> socket)
    {
        while (socket->is_open()) {
            std::uint32_t length = 0;
            const auto [lengthError, lengthBytes] = co_await asio::async_read(*socket, asio::buffer(&length, sizeof(length)), Awaitable);
            boost::endian::big_to_native_inplace(length);
            if (lengthError || length > maxMessageBytes) {
                break;
            }
            std::string message(length, '\0');
            const auto [error, bytes] = co_await asio::async_read(*socket, asio::buffer(message), Awaitable);
            if (error) {
                break;
            }
            receiver(std::move(message));
        }
        incoming.erase(socket);
    }

    void closeIncoming()
    {
        boost::system::error_code ignored;
        acceptor.close(ignored);
        for (const auto &socket : incoming) {
            socket->close(ignored);
        }
    }

    Receiver receiver;
    std::size_t maxMessageBytes;
    asio::io_context context;
    tcp::acceptor acceptor;
    asio::executor_work_guard<asio::io_context::executor_type> work;
    std::set<std::shared_ptr<tcp::socket>> incoming;
    std::map<std::string, std::shared_ptr<OutgoingConnection>> peers;
    std::thread thread;
};

TcpLink::TcpLink(const Endpoint &door, std::size_t maxMessageBytes, Receiver receiver)
{
    try {
        d = std::make_unique<Private>(door, maxMessageBytes, std::move(receiver));
    } catch (const boost::system::system_error &error) {
        throw std::runtime_error("peer: cannot listen on " + toString(door) + ": " + error.code().message());
    }
    asio::co_spawn(d->context, d->accept(), asio::detached);
    d->thread = std::thread([this] {
        d->context.run();
    });
}

TcpLink::~TcpLink()
{
    stopReceiving();
    for (const auto &[host, peer] : d->peers) {
        peer->close();
    }
    d->work.reset();
    d->thread.join();
}

void TcpLink::stopReceiving()
{
    asio::post(d->context, asio::use_future([this] {
                   d->closeIncoming();
               }))
        .wait();
}

void TcpLink::connect(const std::string &host, const Endpoint &door)
{
    auto &peer = d->peers[host];
    if (peer && peer->door() == door) {
        return;
    }
    if (peer) {
        peer->close();
    }
    peer = std::make_shared<OutgoingConnection>(d->context, door);
    peer->start();
}

void TcpLink::disconnect(const std::string &host)
{
    const auto found = d->peers.find(host);
    if (found != d->peers.end()) {
        found->second->close();
        d->peers.erase(found);
    }
}

bool TcpLink::send(const std::string &host, const std::string &message)
{
    const auto found = d->peers.find(host);
    return found != d->peers.end() && found->second->send(message);
}
} // namespace Anvilcart
