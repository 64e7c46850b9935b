#include "net/disconnectwatch.h"
#include "kernel/time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>

using namespace Anvilcart;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace
{
/// A connection of a caller whose request is being handled.
struct HandledConnectionFixture
{
    HandledConnectionFixture()
        : caller(context)
        , served(context)
    {
        tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
        caller.connect(acceptor.local_endpoint());
        acceptor.accept(served);
        watch = std::make_shared<DisconnectWatch>(served);
    }

    ~HandledConnectionFixture()
    {
        watch->end();
        context.poll();
    }

    void watchForEnd()
    {
        watch->onDisconnect([this] {
            ++ends;
        });
    }

    void send(const std::string &bytes)
    {
        asio::write(caller, asio::buffer(bytes));
    }

    bool endIsNoticed()
    {
        const auto limit = Clock::now() + Seconds(10);
        while (ends == 0 && Clock::now() < limit) {
            context.restart();
            context.run_for(Milliseconds(2));
        }
        return ends == 1;
    }

    asio::io_context context;
    tcp::socket caller;
    tcp::socket served;
    std::shared_ptr<DisconnectWatch> watch;
    int ends = 0;
};
} // namespace

BOOST_AUTO_TEST_SUITE(DisconnectWatchSuite, *boost::unit_test::label("net"))

BOOST_FIXTURE_TEST_CASE(The_end_of_a_caller_is_noticed, HandledConnectionFixture)
{
    watchForEnd();
    context.run_for(Milliseconds(20));
    BOOST_TEST(ends == 0);
    BOOST_TEST(watch->isConnected());
    caller.close();
    BOOST_TEST(endIsNoticed());
    BOOST_TEST(!watch->isConnected());
}

// The readiness for the last bytes of a request may be handled after they have been read.
BOOST_FIXTURE_TEST_CASE(The_end_of_a_caller_is_noticed_after_a_readiness_without_bytes, HandledConnectionFixture)
{
    watchForEnd();
    send("x");
    asio::post(context, [this] {
        char byte = 0;
        served.receive(asio::buffer(&byte, 1));
    });
    context.run_for(Milliseconds(20));
    BOOST_TEST(ends == 0);
    caller.close();
    BOOST_TEST(endIsNoticed());
}

BOOST_FIXTURE_TEST_CASE(The_end_of_a_caller_who_has_sent_more_than_the_request_is_noticed, HandledConnectionFixture)
{
    send("GET / HTTP/1.1");
    watchForEnd();
    context.run_for(Milliseconds(20));
    BOOST_TEST(ends == 0);
    BOOST_TEST(watch->isConnected());
    caller.close();
    BOOST_TEST(endIsNoticed());
    BOOST_TEST(!watch->isConnected());
}

BOOST_FIXTURE_TEST_CASE(Bytes_that_wait_do_not_keep_the_loop_busy, HandledConnectionFixture)
{
    constexpr std::size_t FewHandlers = 30;
    send("GET / HTTP/1.1");
    watchForEnd();
    BOOST_TEST(context.run_for(Milliseconds(300)) <= FewHandlers);
}

BOOST_FIXTURE_TEST_CASE(Nothing_is_reported_once_the_request_has_been_handled, HandledConnectionFixture)
{
    send("GET / HTTP/1.1");
    watchForEnd();
    context.run_for(Milliseconds(20));
    watch->end();
    caller.close();
    context.run_for(Milliseconds(300));
    BOOST_TEST(ends == 0);
}

BOOST_AUTO_TEST_SUITE_END()
