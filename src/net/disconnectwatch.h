#pragma once

#include "net/http.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>

namespace Anvilcart
{
/// Watches a connection while its request is handled.
class DisconnectWatch : public HttpPeer, public std::enable_shared_from_this<DisconnectWatch>
{
public:
    /// The socket outlives end().
    explicit DisconnectWatch(boost::asio::ip::tcp::socket &socket)
        : m_socket(socket)
    {
    }

    void onDisconnect(std::function<void()> action) override
    {
        m_action = std::move(action);
        m_socket.async_wait(boost::asio::ip::tcp::socket::wait_read, [self = shared_from_this()](const boost::system::error_code &error) {
            if (!error && !self->m_ended) {
                self->readable();
            }
        });
    }

    bool isConnected() override
    {
        char byte = 0;
        boost::system::error_code error;
        m_socket.non_blocking(true, error);
        const auto count = m_socket.receive(boost::asio::buffer(&byte, 1), boost::asio::ip::tcp::socket::message_peek, error);
        return count > 0 || error == boost::asio::error::would_block;
    }

    /// The request has been handled; the action is called no more.
    void end()
    {
        if (m_action) {
            m_socket.cancel();
        }
        m_ended = true;
    }

private:
    void readable()
    {
        if (!isConnected()) {
            m_action();
        }
    }

    boost::asio::ip::tcp::socket &m_socket;
    std::function<void()> m_action;
    bool m_ended = false;
};
} // namespace Anvilcart
