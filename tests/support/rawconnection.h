#pragma once

#include "model/endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <string>

namespace Anvilcart
{
/// A connection that a test writes to and reads from by hand.
class RawConnection
{
public:
    explicit RawConnection(const Endpoint &endpoint)
        : m_socket(m_context)
    {
        m_socket.connect({boost::asio::ip::make_address(endpoint.address), endpoint.port});
    }

    /// Writes all of the text; false when the other side has closed.
    bool send(const std::string &text)
    {
        boost::system::error_code error;
        boost::asio::write(m_socket, boost::asio::buffer(text), error);
        return !error;
    }

    /// Everything that comes until the other side closes.
    std::string readAll()
    {
        std::string all;
        boost::system::error_code error;
        while (!error) {
            char chunk[4096];
            const auto count = m_socket.read_some(boost::asio::buffer(chunk), error);
            all.append(chunk, count);
        }
        return all;
    }

    void close()
    {
        m_socket.close();
    }

private:
    boost::asio::io_context m_context;
    boost::asio::ip::tcp::socket m_socket;
};
} // namespace Anvilcart
