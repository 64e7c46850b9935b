#include "fleet/peerlinks.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>

#include <algorithm>
#include <array>
#include <cstdint>
#include <cstring>
#include <deque>
#include <map>
#include <netinet/tcp.h>
#include <utility>

namespace Anvilcart::Fleet
{
namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{
constexpr auto Awaitable = asio::as_tuple(asio::use_awaitable);
/// A configuration of 1,400 routes takes about 300 KB.
constexpr std::uint32_t MaxMessageBytes = 4 * 1024 * 1024;
/// Several seconds of messages at peak load; a peer with a longer queue does not read.
constexpr std::size_t MaxQueuedBytes = 8 * 1024 * 1024;
/// A buffer that has grown beyond this is freed once its messages are delivered.
constexpr std::size_t MaxKeptBuffer = std::size_t(64) * 1024;
/// Few enough that other work of the loop is not held up for long.
constexpr std::size_t MaxAcceptedAtOnce = 64;
/// Many times the longest round trip between zones of one region.
constexpr Milliseconds ConnectTimeout {250};
constexpr Milliseconds MinRetryDelay {20};
constexpr Milliseconds MaxRetryDelay {150};
/// A connection is dead when the peer's system has not acknowledged sent bytes for this time.
constexpr int UnacknowledgedTimeoutMs = 700;

using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

/// Detects dead connections on which nothing is sent: 2 probes 2 s apart after 5 s without data.
void enableKeepAlive(tcp::socket &socket)
{
    using Idle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using Interval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    using Count = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
    boost::system::error_code error;
    socket.set_option(asio::socket_base::keep_alive(true), error);
    socket.set_option(Idle(5), error);
    socket.set_option(Interval(2), error);
    socket.set_option(Count(2), error);
}

std::string withLengthPrefix(const std::string &bytes)
{
    const auto length = boost::endian::native_to_big(static_cast<std::uint32_t>(bytes.size()));
    std::string message(sizeof(length), '\0');
    std::memcpy(message.data(), &length, sizeof(length));
    return message + bytes;
}

/// A connection that this host opens, and opens again when it fails.
class OutgoingConnection : public std::enable_shared_from_this<OutgoingConnection>
{
public:
    OutgoingConnection(const asio::any_io_executor &executor, Endpoint endpoint, PeerLinks::LostHandler lostHandler)
        : m_executor(executor)
        , m_endpoint(std::move(endpoint))
        , m_lostHandler(std::move(lostHandler))
        , m_socket(executor)
        , m_wakeTimer(executor)
    {
    }

    void start()
    {
        asio::co_spawn(
            m_executor,
            [self = shared_from_this()] {
                return self->run();
            },
            asio::detached);
    }

    bool send(const std::string &bytes)
    {
        if (!m_connected || m_queuedBytes + bytes.size() > MaxQueuedBytes) {
            return false;
        }
        m_queuedBytes += bytes.size();
        m_queue.push_back(withLengthPrefix(bytes));
        m_wakeTimer.cancel();
        return true;
    }

    bool isConnected() const
    {
        return m_connected;
    }

    bool isRefused() const
    {
        return m_refused;
    }

    /// Ends the wait for the next attempt to connect, if there is one.
    void retry()
    {
        if (m_waitsForRetry) {
            m_wakeTimer.cancel();
        }
    }

    void close()
    {
        m_stopped = true;
        reset();
        m_wakeTimer.cancel();
    }

    void reset()
    {
        boost::system::error_code error;
        m_socket.close(error);
        m_connected = false;
        m_wakeTimer.cancel();
    }

    /// Closes the connection once the queue is written.
    void closeWhenFlushed()
    {
        m_closeWhenFlushed = true;
        m_wakeTimer.cancel();
    }

private:
    asio::awaitable<void> run()
    {
        Duration retryDelay = MinRetryDelay;
        while (!m_stopped) {
            const bool wasConnected = co_await connect();
            if (wasConnected) {
                retryDelay = MinRetryDelay;
                co_await writeQueue();
            }
            reset();
            m_queue.clear();
            m_queuedBytes = 0;
            if (m_stopped || m_closeWhenFlushed) {
                co_return;
            }
            if (wasConnected) {
                m_lostHandler(m_endpoint);
            }
            m_wakeTimer.expires_after(retryDelay);
            m_waitsForRetry = true;
            co_await m_wakeTimer.async_wait(Awaitable);
            m_waitsForRetry = false;
            retryDelay = std::min<Duration>(retryDelay * 2, MaxRetryDelay);
        }
    }

    asio::awaitable<bool> connect()
    {
        boost::system::error_code error;
        m_socket = tcp::socket(m_executor);
        m_socket.open(tcp::v4(), error);
        auto timeout = std::make_shared<asio::steady_timer>(m_executor, ConnectTimeout);
        timeout->async_wait([self = shared_from_this(), timeout](const boost::system::error_code &waitError) {
            if (!waitError && !self->m_connected) {
                self->reset();
            }
        });
        const tcp::endpoint remote(asio::ip::make_address(m_endpoint.address), m_endpoint.port);
        auto [connectError] = co_await m_socket.async_connect(remote, Awaitable);
        timeout->cancel();
        m_refused = connectError == asio::error::connection_refused;
        if (connectError || !m_socket.is_open()) {
            co_return false;
        }
        m_socket.set_option(tcp::no_delay(true), error);
        m_socket.set_option(UserTimeout(UnacknowledgedTimeoutMs), error);
        m_connected = true;
        co_return true;
    }

    asio::awaitable<void> writeQueue()
    {
        while (m_connected && !m_stopped) {
            if (m_queue.empty()) {
                if (m_closeWhenFlushed) {
                    co_return;
                }
                m_wakeTimer.expires_at(asio::steady_timer::time_point::max());
                co_await m_wakeTimer.async_wait(Awaitable);
                continue;
            }
            std::string batch;
            while (!m_queue.empty()) {
                batch += m_queue.front();
                m_queue.pop_front();
            }
            auto [error, count] = co_await asio::async_write(m_socket, asio::buffer(batch), Awaitable);
            m_queuedBytes = 0;
            for (const auto &message : m_queue) {
                m_queuedBytes += message.size();
            }
            if (error) {
                co_return;
            }
        }
    }

    asio::any_io_executor m_executor;
    Endpoint m_endpoint;
    PeerLinks::LostHandler m_lostHandler;
    tcp::socket m_socket;
    asio::steady_timer m_wakeTimer;
    std::deque<std::string> m_queue;
    std::size_t m_queuedBytes = 0;
    bool m_connected = false;
    bool m_refused = false;
    bool m_waitsForRetry = false;
    bool m_stopped = false;
    bool m_closeWhenFlushed = false;
};
} // namespace

struct PeerLinks::Private : std::enable_shared_from_this<PeerLinks::Private>
{
    Private(const asio::any_io_executor &executor,
            const Endpoint &endpoint,
            Receiver receiver,
            ClosedHandler closedHandler,
            LostHandler lostHandler,
            const PeerLinkLimits &limits)
        : executor(executor)
        , limits(limits)
        , acceptor(executor, tcp::endpoint(asio::ip::make_address(endpoint.address), endpoint.port))
        , receiver(std::move(receiver))
        , closedHandler(std::move(closedHandler))
        , lostHandler(std::move(lostHandler))
    {
        acceptor.non_blocking(true);
    }

    /// A connection that was accepted.
    struct Incoming
    {
        explicit Incoming(tcp::socket acceptedSocket)
            : socket(std::move(acceptedSocket))
        {
        }

        tcp::socket socket;
        /// The beginning of a message.
        std::string buffer;
        LinkSender sender;
    };

    asio::awaitable<void> accept()
    {
        while (acceptor.is_open()) {
            auto [error, socket] = co_await acceptor.async_accept(executor, Awaitable);
            if (error == asio::error::operation_aborted) {
                co_return;
            }
            if (error || !makeRoomForConnection()) {
                asio::steady_timer retryDelay(executor, MinRetryDelay);
                co_await retryDelay.async_wait(Awaitable);
                continue;
            }
            add(std::move(socket));
            // Each completion of async_accept() waits for all other work of the loop.
            acceptWaiting(MaxAcceptedAtOnce - 1);
        }
    }

    /// Accepts connections that wait already, up to a number of them.
    void acceptWaiting(std::size_t limit)
    {
        boost::system::error_code error;
        for (std::size_t count = 0; count < limit; ++count) {
            tcp::socket socket(executor);
            acceptor.accept(socket, error);
            if (error || !makeRoomForConnection()) {
                return;
            }
            add(std::move(socket));
        }
    }

    /// Closes the oldest connection on which no message has arrived if the limit is reached; false if there is none.
    bool makeRoomForConnection()
    {
        if (incoming.size() < limits.incomingConnections) {
            return true;
        }
        const auto oldest = std::find_if(incoming.begin(), incoming.end(), [](const auto &entry) {
            return entry.second->sender.host.empty();
        });
        if (oldest == incoming.end()) {
            return false;
        }
        close(oldest->first);
        ++replaced;
        return true;
    }

    /// Closes connections on which no message has arrived, those with the longest buffers first, until the bytes fit; false if they do not.
    bool makeRoomForBytes(std::size_t bytes)
    {
        while (bufferedBytes + bytes > limits.bufferedBytes) {
            auto longest = incoming.end();
            for (auto entry = incoming.begin(); entry != incoming.end(); ++entry) {
                const auto size = entry->second->buffer.size();
                const bool isCandidate = entry->second->sender.host.empty() && size > 0;
                if (isCandidate && (longest == incoming.end() || size > longest->second->buffer.size())) {
                    longest = entry;
                }
            }
            if (longest == incoming.end()) {
                return false;
            }
            close(longest->first);
            ++replaced;
        }
        return true;
    }

    /// Closes a connection and frees what it holds; read() ends by itself.
    void close(std::uint64_t number)
    {
        const auto found = incoming.find(number);
        if (found == incoming.end()) {
            return;
        }
        boost::system::error_code error;
        found->second->socket.close(error);
        bufferedBytes -= found->second->buffer.size();
        found->second->buffer = std::string();
        incoming.erase(found);
    }

    /// Begins to read from a connection.
    void add(tcp::socket socket)
    {
        auto connection = std::make_shared<Incoming>(std::move(socket));
        enableKeepAlive(connection->socket);
        boost::system::error_code error;
        connection->socket.non_blocking(true, error);
        const auto number = ++lastAccepted;
        incoming[number] = connection;
        asio::co_spawn(
            executor,
            [self = shared_from_this(), connection, number] {
                return self->read(connection, number);
            },
            asio::detached);
    }

    asio::awaitable<void> read(std::shared_ptr<Incoming> connection, std::uint64_t number)
    {
        bool open = true;
        while (open) {
            auto [error] = co_await connection->socket.async_wait(tcp::socket::wait_read, Awaitable);
            open = !error && readOnce(*connection, number);
        }
        close(number);
        const auto &sender = connection->sender;
        const bool isNewest = newestConnections[sender.host] == number;
        const auto oldestOpen = incoming.empty() ? lastAccepted + 1 : incoming.begin()->first;
        std::erase_if(newestConnections, [oldestOpen](const auto &entry) {
            return entry.second < oldestOpen;
        });
        if (!sender.host.empty() && !stopped) {
            closedHandler(sender, isNewest);
        }
    }

    /// Reads what has arrived, up to the size of the common buffer, and delivers its messages; false when the connection has ended or
    /// exceeds a limit.
    bool readOnce(Incoming &connection, std::uint64_t number)
    {
        boost::system::error_code error;
        const auto count = connection.socket.read_some(asio::buffer(readBuffer), error);
        if (error == asio::error::would_block) {
            return true;
        }
        if (error || !makeRoomForBytes(count) || !connection.socket.is_open()) {
            return false;
        }
        const auto bytesBefore = connection.buffer.size();
        connection.buffer.append(readBuffer.data(), count);
        const bool isValid = deliverMessages(connection.buffer, connection.sender);
        // A receiver may have closed connections, but not this one.
        bufferedBytes = bufferedBytes - bytesBefore + connection.buffer.size();
        if (connection.buffer.empty() && connection.buffer.capacity() > MaxKeptBuffer) {
            connection.buffer = std::string();
        }
        if (!connection.sender.host.empty()) {
            auto &newest = newestConnections[connection.sender.host];
            newest = std::max(newest, number);
        }
        return isValid;
    }

    /// Passes every complete message to the receiver; false when a message exceeds the permitted size.
    bool deliverMessages(std::string &buffer, LinkSender &sender)
    {
        std::string_view rest = buffer;
        std::uint32_t length = 0;
        while (rest.size() >= sizeof(length)) {
            std::memcpy(&length, rest.data(), sizeof(length));
            length = boost::endian::big_to_native(length);
            if (length > MaxMessageBytes) {
                return false;
            }
            if (rest.size() < sizeof(length) + length) {
                break;
            }
            if (!stopped) {
                sender = receiver(rest.substr(sizeof(length), length));
            }
            rest.remove_prefix(sizeof(length) + length);
        }
        buffer.erase(0, buffer.size() - rest.size());
        return true;
    }

    asio::any_io_executor executor;
    PeerLinkLimits limits;
    tcp::acceptor acceptor;
    Receiver receiver;
    ClosedHandler closedHandler;
    LostHandler lostHandler;
    std::map<std::string, std::shared_ptr<OutgoingConnection>> outgoing;
    /// By number, in the order in which they were accepted.
    std::map<std::uint64_t, std::shared_ptr<Incoming>> incoming;
    /// Of all incoming connections together.
    std::size_t bufferedBytes = 0;
    std::uint64_t replaced = 0;
    /// Used by one connection at a time, and empty in between.
    std::array<char, 16384> readBuffer {};
    std::uint64_t lastAccepted = 0;
    /// The connection of each host that was accepted last, of those on which it has named itself. It stays after its end as long as an
    /// older one is open, which may still deliver what it holds.
    std::map<std::string, std::uint64_t> newestConnections;
    bool stopped = false;
};

PeerLinks::PeerLinks(const asio::any_io_executor &executor,
                     const Endpoint &endpoint,
                     Receiver receiver,
                     ClosedHandler closedHandler,
                     LostHandler lostHandler,
                     const PeerLinkLimits &limits)
    : d(std::make_shared<Private>(executor, endpoint, std::move(receiver), std::move(closedHandler), std::move(lostHandler), limits))
{
    asio::co_spawn(
        executor,
        [self = d] {
            return self->accept();
        },
        asio::detached);
}

PeerLinks::~PeerLinks()
{
    d->stopped = true;
}

void PeerLinks::connect(const Endpoint &endpoint)
{
    if (d->stopped) {
        return;
    }
    auto &link = d->outgoing[toString(endpoint)];
    if (link != nullptr) {
        link->retry();
        return;
    }
    link = std::make_shared<OutgoingConnection>(d->executor, endpoint, d->lostHandler);
    link->start();
}

void PeerLinks::disconnect(const Endpoint &endpoint)
{
    const auto found = d->outgoing.find(toString(endpoint));
    if (found != d->outgoing.end()) {
        found->second->close();
        d->outgoing.erase(found);
    }
}

void PeerLinks::reconnect(const Endpoint &endpoint)
{
    const auto found = d->outgoing.find(toString(endpoint));
    if (found != d->outgoing.end()) {
        found->second->reset();
    }
}

bool PeerLinks::isConnected(const Endpoint &endpoint) const
{
    const auto found = d->outgoing.find(toString(endpoint));
    return found != d->outgoing.end() && found->second->isConnected();
}

bool PeerLinks::isRefused(const Endpoint &endpoint) const
{
    const auto found = d->outgoing.find(toString(endpoint));
    return found != d->outgoing.end() && found->second->isRefused();
}

bool PeerLinks::send(const Endpoint &endpoint, const std::string &bytes)
{
    const auto found = d->outgoing.find(toString(endpoint));
    return found != d->outgoing.end() && found->second->send(bytes);
}

std::uint64_t PeerLinks::replacedConnections() const
{
    return d->replaced;
}

void PeerLinks::stop()
{
    d->stopped = true;
    boost::system::error_code error;
    d->acceptor.close(error);
    for (auto &[address, link] : d->outgoing) {
        link->closeWhenFlushed();
    }
    for (auto &[key, connection] : d->incoming) {
        connection->socket.close(error);
    }
}
} // namespace Anvilcart::Fleet
