#include "fleet/peerlinks.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

using namespace Anvilcart;
using namespace Anvilcart::Fleet;

namespace
{
/// Listens for other hosts, and records what the ends of their connections mean.
struct ListeningHostFixture
{
    using Socket = boost::asio::ip::tcp::socket;

    explicit ListeningHostFixture(const PeerLinkLimits &limits = PeerLinkLimits())
    {
        namespace asio = boost::asio;
        using asio::ip::tcp;
        {
            const tcp::acceptor free(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
            port = free.local_endpoint().port();
        }
        links = std::make_unique<PeerLinks>(
            context.get_executor(),
            Endpoint {"127.0.0.1", port},
            [this](std::string_view) {
                ++received;
                return LinkSender {"host", 1};
            },
            [this](const LinkSender &, bool isNewest) {
                closedNewest.push_back(isNewest);
            },
            [](const Endpoint &) {},
            limits);
    }

    ~ListeningHostFixture()
    {
        links->stop();
        context.poll();
    }

    Socket connect()
    {
        Socket socket(context);
        socket.connect(boost::asio::ip::tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), port));
        return socket;
    }

    /// Sends a message and waits until it has been read.
    void send(Socket &socket)
    {
        const std::string message {'\0', '\0', '\0', '\1', 'x'};
        const auto before = received;
        boost::asio::write(socket, boost::asio::buffer(message));
        runUntil([&] {
            return received > before;
        });
    }

    /// Closes a connection and returns whether that counted as the end of the newest one.
    bool closeAsNewest(Socket &socket)
    {
        const auto before = closedNewest.size();
        socket.close();
        runUntil([&] {
            return closedNewest.size() > before;
        });
        return closedNewest.at(before);
    }

    template<typename Condition>
    void runUntil(Condition condition)
    {
        const auto end = Clock::now() + Seconds(10);
        while (!condition() && Clock::now() < end) {
            context.run_for(Milliseconds(2));
        }
        BOOST_REQUIRE(condition());
    }

    /// Waits until the other side has closed a connection.
    void waitUntilClosed(Socket &socket)
    {
        socket.non_blocking(true);
        runUntil([&] {
            char byte = 0;
            boost::system::error_code error;
            socket.read_some(boost::asio::buffer(&byte, 1), error);
            return error && error != boost::asio::error::would_block;
        });
    }

    boost::asio::io_context context;
    std::uint16_t port = 0;
    std::unique_ptr<PeerLinks> links;
    std::size_t received = 0;
    std::vector<bool> closedNewest;
};

struct SmallHostFixture : ListeningHostFixture
{
    SmallHostFixture()
        : ListeningHostFixture({3, 100000})
    {
    }
};
} // namespace

BOOST_AUTO_TEST_SUITE(PeerLinksSuite, *boost::unit_test::label("fleet"))

// The sweep at 300 hosts: those beyond the limit connected again and again, and no report of them arrived.
BOOST_AUTO_TEST_CASE(A_host_receives_from_every_other_host_of_a_large_fleet)
{
    constexpr std::size_t Hosts = 400;
    namespace asio = boost::asio;
    using asio::ip::tcp;
    asio::io_context context;
    std::uint16_t port = 0;
    {
        const tcp::acceptor free(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        port = free.local_endpoint().port();
    }
    std::size_t received = 0;
    PeerLinks links(
        context.get_executor(),
        Endpoint {"127.0.0.1", port},
        [&](std::string_view) {
            received += 1;
            return LinkSender {"host", received};
        },
        [](const LinkSender &, bool) {},
        [](const Endpoint &) {});
    std::vector<std::unique_ptr<tcp::socket>> sockets;
    const std::string message {'\0', '\0', '\0', '\1', 'x'};
    for (std::size_t host = 0; host < Hosts; ++host) {
        auto socket = std::make_unique<tcp::socket>(context);
        socket->connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), port));
        asio::write(*socket, asio::buffer(message));
        sockets.push_back(std::move(socket));
        context.poll();
    }
    const auto end = Clock::now() + Seconds(10);
    while (received < Hosts && Clock::now() < end) {
        context.run_for(Milliseconds(20));
    }
    BOOST_TEST(received == Hosts);
    links.stop();
    context.poll();
}

BOOST_FIXTURE_TEST_CASE(Many_hosts_who_connect_at_once_are_read_within_a_few_rounds_of_a_busy_loop, ListeningHostFixture)
{
    constexpr std::size_t Hosts = 200;
    constexpr int FewRounds = 40;
    constexpr int MaxRounds = 5000;
    std::vector<Socket> sockets;
    for (std::size_t host = 0; host < Hosts; ++host) {
        sockets.push_back(connect());
        const std::string message {'\0', '\0', '\0', '\1', 'x'};
        boost::asio::write(sockets.back(), boost::asio::buffer(message));
    }
    int rounds = 0;
    std::function<void()> runRound = [&] {
        if (received < Hosts && rounds < MaxRounds) {
            ++rounds;
            boost::asio::post(context, runRound);
        }
    };
    boost::asio::post(context, runRound);
    runUntil([&] {
        return received == Hosts || rounds == MaxRounds;
    });
    BOOST_TEST(received == Hosts);
    BOOST_TEST(rounds <= FewRounds);
}

// Messages that were sent over the connection may be lost.
BOOST_AUTO_TEST_CASE(The_loss_of_an_open_connection_is_reported)
{
    namespace asio = boost::asio;
    using asio::ip::tcp;
    asio::io_context context;
    tcp::acceptor peer(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    const Endpoint peerEndpoint {"127.0.0.1", peer.local_endpoint().port()};
    std::vector<Endpoint> lost;
    PeerLinks links(
        context.get_executor(),
        Endpoint {"127.0.0.1", 0},
        [](std::string_view) {
            return LinkSender();
        },
        [](const LinkSender &, bool) {},
        [&](const Endpoint &endpoint) {
            lost.push_back(endpoint);
        });
    links.connect(peerEndpoint);
    const auto runUntil = [&](const auto &condition) {
        const auto end = Clock::now() + Seconds(10);
        while (!condition() && Clock::now() < end) {
            context.run_for(Milliseconds(5));
        }
        return condition();
    };
    BOOST_REQUIRE(runUntil([&] {
        return links.isConnected(peerEndpoint);
    }));
    BOOST_TEST(lost.empty());
    peer.accept().close();
    BOOST_REQUIRE(runUntil([&] {
        links.send(peerEndpoint, "message");
        return !lost.empty();
    }));
    BOOST_TEST((lost.front() == peerEndpoint));
    links.stop();
    context.poll();
}

// A connection that was cut off delivers what it holds after its host has opened the next one.
BOOST_FIXTURE_TEST_CASE(Late_data_on_an_older_connection_do_not_make_it_the_newest_one, ListeningHostFixture)
{
    auto older = connect();
    send(older);
    auto newer = connect();
    send(newer);
    send(older);
    BOOST_TEST(!closeAsNewest(older));
    BOOST_TEST(closeAsNewest(newer));
}

BOOST_FIXTURE_TEST_CASE(The_end_of_the_newest_connection_is_noticed_after_late_data_on_an_older_one, ListeningHostFixture)
{
    auto older = connect();
    send(older);
    auto newer = connect();
    send(newer);
    send(older);
    BOOST_TEST(closeAsNewest(newer));
    send(older);
    BOOST_TEST(!closeAsNewest(older));
}

BOOST_FIXTURE_TEST_CASE(The_end_of_the_only_connection_with_a_known_sender_counts, ListeningHostFixture)
{
    auto older = connect();
    send(older);
    auto newer = connect();
    BOOST_TEST(closeAsNewest(older));
    send(newer);
    BOOST_TEST(closeAsNewest(newer));
}

// Connections that sent nothing took every place, and hosts that connected later were not read.
BOOST_FIXTURE_TEST_CASE(The_oldest_connection_without_a_message_makes_room_for_a_new_one, SmallHostFixture)
{
    auto host = connect();
    send(host);
    auto silent = connect();
    auto later = connect();
    auto newHost = connect();
    send(newHost);
    waitUntilClosed(silent);
    send(host);
    send(later);
    BOOST_TEST(received == 4);
}

// Announced messages were buffered up to 4 MB on each of a thousand connections.
BOOST_FIXTURE_TEST_CASE(Incomplete_messages_of_unknown_senders_make_room_for_others, SmallHostFixture)
{
    const std::string announced {'\0', '\1', '\0', '\0'}; // 65,536 bytes
    auto host = connect();
    send(host);
    auto first = connect();
    boost::asio::write(first, boost::asio::buffer(announced + std::string(60000, 'x')));
    context.run_for(Milliseconds(50));
    auto second = connect();
    boost::asio::write(second, boost::asio::buffer(announced + std::string(50000, 'x')));
    waitUntilClosed(first);
    // A known sender's long message is read.
    const auto before = received;
    boost::asio::write(host, boost::asio::buffer(announced + std::string(65536, 'x')));
    runUntil([&] {
        return received > before;
    });
    send(host);
    BOOST_TEST(closeAsNewest(host));
}

BOOST_AUTO_TEST_SUITE_END()
