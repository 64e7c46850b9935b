#pragma once

#include "model/endpoint.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <functional>
#include <memory>
#include <set>
#include <thread>

namespace Review
{
/// The network side of a machine: forwards connections to its server, and can lose power and come back. Thread-safe.
class Gate
{
public:
    /// Listens at one endpoint and forwards to the other one.
    Gate(const Anvilcart::Endpoint &listen, const Anvilcart::Endpoint &server);
    ~Gate();

    Gate(const Gate &) = delete;
    Gate &operator=(const Gate &) = delete;

    /// From now on nothing is answered, and open connections stay open without a sign.
    void powerOff();

    /// New connections are served again. An earlier one is reset a round trip after bytes arrive on it, as by a machine
    /// in another zone that does not know it.
    void powerOn();

private:
    using tcp = boost::asio::ip::tcp;

    struct Pair
    {
        explicit Pair(boost::asio::io_context &context)
            : peer(context)
            , server(context)
        {
        }

        tcp::socket peer;
        tcp::socket server;
        bool isDead = false;
        std::array<char, 16384> toServer {};
        std::array<char, 16384> toPeer {};
    };

    void run(const std::function<void()> &action);
    void dropWaiting();
    void accept();
    void forward(const std::shared_ptr<Pair> &pair, bool isToServer);
    void resetWhenUsed(const std::shared_ptr<Pair> &pair);
    static void close(Pair &pair);

    boost::asio::io_context m_context;
    tcp::endpoint m_server;
    tcp::acceptor m_acceptor;
    std::set<std::shared_ptr<Pair>> m_pairs;
    bool m_isOn = true;
    std::thread m_thread;
};
} // namespace Review
