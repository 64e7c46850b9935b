#pragma once

#include "kernel/time.h"
#include "net/http.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <poll.h>

namespace Anvilcart
{
/// Watches a connection while its request is handled.
class DisconnectWatch : public HttpPeer, public std::enable_shared_from_this<DisconnectWatch>
{
public:
    /// The socket outlives end().
    explicit DisconnectWatch(boost::asio::ip::tcp::socket &socket)
        : m_socket(socket)
        , m_timer(socket.get_executor())
    {
    }

    void onDisconnect(std::function<void()> action) override
    {
        m_action = std::move(action);
        waitUntilReadable();
    }

    bool isConnected() override
    {
        return look() != Connection::Closed;
    }

    /// The request has been handled; the action is called no more.
    void end()
    {
        if (m_action) {
            m_socket.cancel();
            m_timer.cancel();
        }
        m_ended = true;
    }

private:
    enum class Connection {
        Open,
        /// Open, and bytes beyond the request wait to be read.
        OpenWithBytes,
        Closed,
    };

    Connection look()
    {
        char byte = 0;
        boost::system::error_code error;
        m_socket.non_blocking(true, error);
        const auto count = m_socket.receive(boost::asio::buffer(&byte, 1), boost::asio::ip::tcp::socket::message_peek, error);
        if (error == boost::asio::error::would_block) {
            return Connection::Open;
        }
        if (count == 0) {
            return Connection::Closed;
        }
        // The end of the connection cannot be read before the bytes that wait.
        pollfd state {m_socket.native_handle(), POLLRDHUP, 0};
        return ::poll(&state, 1, 0) == 1 ? Connection::Closed : Connection::OpenWithBytes;
    }

    void waitUntilReadable()
    {
        m_socket.async_wait(boost::asio::ip::tcp::socket::wait_read, [self = shared_from_this()](const boost::system::error_code &error) {
            if (!error && !self->m_ended) {
                self->onReadable();
            }
        });
    }

    void onReadable()
    {
        switch (look()) {
        case Connection::Closed:
            m_action();
            break;
        case Connection::Open:
            waitUntilReadable();
            break;
        case Connection::OpenWithBytes:
            // With waiting bytes the socket stays readable.
            m_timer.expires_after(WaitingBytesPeriod);
            m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
                if (!error && !self->m_ended) {
                    self->onReadable();
                }
            });
            break;
        }
    }

    /// How often a connection with waiting bytes is looked at.
    static constexpr Milliseconds WaitingBytesPeriod {50};

    boost::asio::ip::tcp::socket &m_socket;
    boost::asio::steady_timer m_timer;
    std::function<void()> m_action;
    bool m_ended = false;
};
} // namespace Anvilcart
