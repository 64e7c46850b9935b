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
constexpr Seconds PollLimit {30};
constexpr Milliseconds PollInterval {5};

Endpoint findFreeDoor()
{
    asio::io_context context;
    const asio::ip::tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
    return {"127.0.0.1", acceptor.local_endpoint().port()};
}

/// Messages that a link has received.
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

void waitUntil(const std::function<bool()> &holds)
{
    const auto limit = Clock::now() + PollLimit;
    while (!holds()) {
        BOOST_REQUIRE(Clock::now() < limit);
        std::this_thread::sleep_for(PollInterval);
    }
}
} // namespace

BOOST_AUTO_TEST_SUITE(TcpLinkSuite, *boost::unit_test::label("peer"))

BOOST_AUTO_TEST_CASE(Messages_cross_whole_and_too_large_ones_do_not)
{
    Inbox inbox;
    const auto door = findFreeDoor();
    TcpLink receiving(door, MaxBytes, inbox.receiver());
    TcpLink sending(findFreeDoor(), MaxBytes, [](const std::string &) {});
    BOOST_TEST(!sending.send("entry-2", "nobody is connected"));
    sending.connect("entry-2", door);
    BOOST_TEST(sending.send("entry-2", std::string(MaxBytes + 1, 'x')));
    waitUntil([&] {
        sending.send("entry-2", "hello");
        return !inbox.messages().empty();
    });
    for (const auto &message : inbox.messages()) {
        BOOST_TEST(message == "hello");
    }
}

BOOST_AUTO_TEST_CASE(A_link_reaches_a_peer_that_starts_later_and_starts_again)
{
    const auto door = findFreeDoor();
    TcpLink sending(findFreeDoor(), MaxBytes, [](const std::string &) {});
    sending.connect("entry-2", door);
    for (int start = 0; start < 2; ++start) {
        Inbox inbox;
        TcpLink receiving(door, MaxBytes, inbox.receiver());
        waitUntil([&] {
            sending.send("entry-2", "hello");
            return !inbox.messages().empty();
        });
        receiving.stopReceiving();
    }
}

BOOST_AUTO_TEST_CASE(A_door_that_is_taken_is_an_error)
{
    const auto door = findFreeDoor();
    const TcpLink first(door, MaxBytes, [](const std::string &) {});
    BOOST_CHECK_THROW(TcpLink(door, MaxBytes, [](const std::string &) {}), std::runtime_error);
}

BOOST_AUTO_TEST_SUITE_END()
