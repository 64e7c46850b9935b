#pragma once

#include "kernel/time.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>

namespace Anvilcart
{
/// Ends the reading of a request whose time is over, and leaves the connection open for the refusal; the limit of a Beast stream would
/// close it. Used on the connection's loop only.
class ReadTimeout : public std::enable_shared_from_this<ReadTimeout>
{
public:
    explicit ReadTimeout(boost::asio::ip::tcp::socket &socket)
        : m_socket(socket)
        , m_timer(socket.get_executor())
    {
    }

    /// The reading may take so long from now on.
    void begin(Duration limit)
    {
        m_running = true;
        m_passed = false;
        m_timer.expires_after(limit);
        m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
            if (!error && self->m_running && self->m_timer.expiry() <= Clock::now()) {
                self->m_passed = true;
                self->m_socket.cancel();
            }
        });
    }

    /// The reading has ended.
    void end()
    {
        m_running = false;
        m_timer.cancel();
    }

    /// True when the time passed before end().
    bool hasPassed() const
    {
        return m_passed;
    }

private:
    boost::asio::ip::tcp::socket &m_socket;
    boost::asio::steady_timer m_timer;
    bool m_running = false;
    bool m_passed = false;
};
} // namespace Anvilcart
