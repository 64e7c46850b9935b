#include "hostruntime/targetconnections.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

using namespace Anvilcart;
using namespace Anvilcart::Fleet;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{
const std::string Listing = R"({"clock_ms":1000,"born":1,"running":[],"ended_runs":[]})";

std::string answerWith(const std::string &body)
{
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A target that answers each request, or none while isSilent, and closes its connections when told to. Restarts keep its endpoint.
class LoopbackTarget
{
public:
    explicit LoopbackTarget(asio::io_context &context)
        : m_context(context)
        , m_acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    {
        accept();
    }

    Endpoint endpoint() const
    {
        return {"127.0.0.1", m_acceptor.local_endpoint().port()};
    }

    void closeConnections()
    {
        for (const auto &weak : m_sockets) {
            if (const auto socket = weak.lock()) {
                boost::system::error_code error;
                socket->close(error);
            }
        }
        m_sockets.clear();
    }

    bool isSilent = false;
    bool closesAfterAnswers = false;
    int requests = 0;

private:
    void accept()
    {
        auto socket = std::make_shared<tcp::socket>(m_context);
        m_acceptor.async_accept(*socket, [this, socket](const boost::system::error_code &error) {
            if (!error) {
                m_sockets.push_back(socket);
                read(socket);
                accept();
            }
        });
    }

    void read(const std::shared_ptr<tcp::socket> &socket)
    {
        auto bytes = std::make_shared<std::array<char, 8192>>();
        socket->async_read_some(asio::buffer(*bytes), [this, socket, bytes](const boost::system::error_code &error, std::size_t) {
            if (error) {
                return;
            }
            ++requests;
            if (!isSilent) {
                boost::system::error_code ignored;
                asio::write(*socket, asio::buffer(answerWith(Listing)), ignored);
            }
            if (closesAfterAnswers) {
                socket->close();
            } else {
                read(socket);
            }
        });
    }

    asio::io_context &m_context;
    tcp::acceptor m_acceptor;
    std::vector<std::weak_ptr<tcp::socket>> m_sockets;
};

struct TargetConnectionsFixture
{
    TargetConnectionsFixture()
        : server(context)
        , connections(context.get_executor())
    {
        target.id = "target";
        target.endpoint = server.endpoint();
    }

    void run(Milliseconds time = Milliseconds(5))
    {
        context.restart();
        context.run_for(time);
    }

    void list(std::int64_t waitMs = 0)
    {
        RenewalRequest request;
        request.waitMs = waitMs;
        connections.renew(target, request, [this](const RenewalReply &reply) {
            lastListing = reply.result;
        });
        run();
    }

    void start()
    {
        lastStart.reset();
        connections.start(target, StartRequest(), [this](const TargetReply &reply) {
            lastStart = reply.result;
        });
        run();
    }

    asio::io_context context;
    LoopbackTarget server;
    TargetConnections connections;
    TargetEntry target;
    std::optional<RequestResult> lastListing;
    std::optional<RequestResult> lastStart;
};
} // namespace

// Requests name only the id of a target, which is the same after a restart, perhaps as another kind (review/10).
BOOST_FIXTURE_TEST_SUITE(TargetConnectionsSuite, TargetConnectionsFixture, *boost::unit_test::label("hostruntime"))

BOOST_AUTO_TEST_CASE(A_start_over_a_kept_connection_is_sent)
{
    list();
    start();
    BOOST_TEST((lastStart == RequestResult::Accepted));
    BOOST_TEST(server.requests == 2);
}

BOOST_AUTO_TEST_CASE(A_start_after_all_connections_were_closed_waits_for_a_listing)
{
    list();
    server.closeConnections();
    start();
    BOOST_TEST((lastStart == RequestResult::ConnectionClosed));
    list();
    start();
    BOOST_TEST((lastStart == RequestResult::Accepted));
}

// The renewal had dropped the closed connections, so that the start did not find them and was sent before the listing was answered.
BOOST_AUTO_TEST_CASE(A_start_beside_a_renewal_that_found_the_connections_closed_waits_for_its_answer)
{
    list();
    server.closeConnections();
    server.isSilent = true;
    constexpr std::int64_t LongPollMs = 300;
    list(LongPollMs);
    const auto requestsBefore = server.requests;
    start();
    BOOST_TEST((lastStart == RequestResult::ConnectionClosed));
    BOOST_TEST(server.requests == requestsBefore);
}

// The only connection was in use, so that none of the kept ones had been closed.
BOOST_AUTO_TEST_CASE(A_start_after_the_connection_of_a_waiting_renewal_was_closed_waits_for_a_listing)
{
    list();
    server.isSilent = true;
    constexpr std::int64_t LongPollMs = 300;
    list(LongPollMs);
    server.isSilent = false;
    server.closeConnections();
    start();
    BOOST_TEST((lastStart == RequestResult::ConnectionClosed));
    start();
    BOOST_TEST((lastStart == RequestResult::ConnectionClosed));
    list();
    start();
    BOOST_TEST((lastStart == RequestResult::Accepted));
}

// A process that still holds one connection open has not restarted.
BOOST_AUTO_TEST_CASE(A_start_is_sent_while_another_connection_is_open)
{
    list();
    server.isSilent = true;
    constexpr std::int64_t LongPollMs = 300;
    list(LongPollMs);
    server.isSilent = false;
    start();
    BOOST_TEST((lastStart == RequestResult::Accepted));
    start();
    BOOST_TEST((lastStart == RequestResult::Accepted));
}

// Each listing was followed by another closed connection, so that no start was ever sent.
BOOST_AUTO_TEST_CASE(A_target_that_closes_each_connection_after_its_answer_still_gets_starts)
{
    server.closesAfterAnswers = true;
    constexpr int FewListings = 4;
    int listings = 0;
    while (lastStart != RequestResult::Accepted && listings < FewListings) {
        list();
        ++listings;
        start();
    }
    BOOST_TEST((lastStart == RequestResult::Accepted));
}

BOOST_AUTO_TEST_SUITE_END()
