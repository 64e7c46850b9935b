#include "peer/tcplink.h"

#include "kernel/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <mutex>
#include <thread>
#include <vector>

using namespace Anvilcart;
namespace asio = boost::asio;

namespace
{
constexpr std::size_t MaxBytes = 1000;
constexpr std::size_t MaxConnections = 8;
constexpr Seconds PollTimeout {30};
constexpr Milliseconds PollInterval {5};

Endpoint findFreeEndpoint()
{
    asio::io_context context;
    const asio::ip::tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
    return {"127.0.0.1", acceptor.local_endpoint().port()};
}

/// Collects the messages that a link receives.
class Inbox
{
public:
    TcpLink::Receiver receiver()
    {
        return [this](std::string message) {
            const std::lock_guard<std::mutex> lock(m_mutex);
            m_messages.push_back(std::move(message));
        };
    }

    std::vector<std::string> messages() const
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        return m_messages;
    }

private:
    mutable std::mutex m_mutex;
    std::vector<std::string> m_messages;
};

void waitUntil(const std::function<bool()> &condition)
{
    const auto deadline = Clock::now() + PollTimeout;
    while (!condition()) {
        BOOST_REQUIRE(Clock::now() < deadline);
        std::this_thread::sleep_for(PollInterval);
    }
}
} // namespace

BOOST_AUTO_TEST_SUITE(TcpLinkSuite, *boost::unit_test::label("peer"))

BOOST_AUTO_TEST_CASE(Messages_arrive_complete_and_oversized_ones_are_dropped)
{
    Inbox inbox;
    const auto endpoint = findFreeEndpoint();
    TcpLink receiving(endpoint, MaxBytes, MaxConnections, inbox.receiver());
    TcpLink sending(findFreeEndpoint(), MaxBytes, MaxConnections, [](const std::string &) {});
    BOOST_TEST(!sending.send("entry-2", "nobody is connected"));
    sending.connect("entry-2", endpoint);
    BOOST_TEST(sending.send("entry-2", std::string(MaxBytes + 1, 'x')));
    waitUntil([&] {
        sending.send("entry-2", "hello");
        return !inbox.messages().empty();
    });
    for (const auto &message : inbox.messages()) {
        BOOST_TEST(message == "hello");
    }
}

BOOST_AUTO_TEST_CASE(A_link_connects_to_a_peer_that_starts_later_and_restarts)
{
    const auto endpoint = findFreeEndpoint();
    TcpLink sending(findFreeEndpoint(), MaxBytes, MaxConnections, [](const std::string &) {});
    sending.connect("entry-2", endpoint);
    for (int start = 0; start < 2; ++start) {
        Inbox inbox;
        TcpLink receiving(endpoint, MaxBytes, MaxConnections, inbox.receiver());
        waitUntil([&] {
            sending.send("entry-2", "hello");
            return !inbox.messages().empty();
        });
        receiving.stopReceiving();
    }
}

BOOST_AUTO_TEST_CASE(An_endpoint_that_is_in_use_is_an_error)
{
    const auto endpoint = findFreeEndpoint();
    const TcpLink first(endpoint, MaxBytes, MaxConnections, [](const std::string &) {});
    BOOST_CHECK_THROW(TcpLink(endpoint, MaxBytes, MaxConnections, [](const std::string &) {}), std::runtime_error);
}

BOOST_AUTO_TEST_SUITE_END()
