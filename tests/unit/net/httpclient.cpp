#include "net/httpclient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include <functional>
#include <string>

using namespace Anvilcart;
namespace asio = boost::asio;
using asio::ip::tcp;

BOOST_AUTO_TEST_SUITE(HttpClientSuite, *boost::unit_test::label("net"))

// Issue 51, full 931: the list of targets took 2.2 s to read, in parts of 512 bytes, and tasks were started on targets that were leaving.
BOOST_AUTO_TEST_CASE(A_long_answer_is_read_within_a_few_rounds_of_a_busy_loop)
{
    constexpr std::size_t AnswerBytes = 60000;
    constexpr int FewRounds = 20;
    constexpr int MaxRounds = 5000;
    asio::io_context context;
    tcp::acceptor acceptor(context, tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0));
    acceptor.set_option(asio::socket_base::send_buffer_size(4 * AnswerBytes));
    HttpConnection connection(context.get_executor(), Endpoint {"127.0.0.1", acceptor.local_endpoint().port()}, "");
    HttpReply reply;
    bool isAnswered = false;
    asio::co_spawn(
        context,
        [&]() -> asio::awaitable<void> {
            reply = co_await connection.call(HttpCall("GET", "/"), Seconds(10));
            isAnswered = true;
        },
        asio::detached);
    context.run_for(Milliseconds(50));
    tcp::socket server(context);
    acceptor.accept(server);
    context.run_for(Milliseconds(50));
    char request[1024];
    server.read_some(asio::buffer(request));
    asio::write(
        server,
        asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(AnswerBytes) + "\r\n\r\n" + std::string(AnswerBytes, 'x')));
    int rounds = 0;
    std::function<void()> runRound = [&] {
        if (!isAnswered && rounds < MaxRounds) {
            ++rounds;
            asio::post(context, runRound);
        }
    };
    asio::post(context, runRound);
    context.restart();
    context.run_for(Seconds(10));
    BOOST_TEST_REQUIRE(isAnswered);
    BOOST_TEST(reply.body.size() == AnswerBytes);
    BOOST_TEST(rounds <= FewRounds);
}

BOOST_AUTO_TEST_SUITE_END()
