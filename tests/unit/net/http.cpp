#include "net/httpclient.h"
#include "net/httpserver.h"
#include "net/runcoroutine.h"
#include "rawconnection.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/test/unit_test.hpp>

#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <thread>
#include <unistd.h>
#include <vector>

using namespace Anvilcart;
namespace asio = boost::asio;

namespace
{
constexpr int AddressBlock = 9;
constexpr int ByteRange = 250;

/// An address of this process alone.
Endpoint freeEndpoint()
{
    static std::uint16_t port = 7900;
    const auto process = ::getpid();
    const auto third = std::to_string(process / ByteRange % ByteRange);
    return {"127." + std::to_string(AddressBlock) + "." + third + "." + std::to_string(process % ByteRange + 1), ++port};
}

/// A door that answers every request after a time and counts them.
class Door
{
public:
    explicit Door(const HttpLimits &limits, Duration answerDelay = Duration(0))
        : endpoint(freeEndpoint())
        , loops(1)
        , server(
              loops,
              endpoint,
              limits,
              [this, answerDelay](HttpRequest request, HttpPeer &) -> asio::awaitable<HttpResponse> {
                  bodyBytes += request.body.size();
                  headerFields += request.headers.size();
                  ++handled;
                  if (answerDelay > Duration(0)) {
                      asio::steady_timer delay(co_await asio::this_coro::executor, answerDelay);
                      co_await delay.async_wait(asio::as_tuple(asio::use_awaitable));
                  }
                  co_return HttpResponse();
              },
              [](ResultCode code) {
                  HttpResponse response;
                  response.status = info(code).httpStatus;
                  return response;
              })
    {
    }

    ~Door()
    {
        loops.stop();
    }

    Endpoint endpoint;
    EventLoops loops;
    std::atomic<int> handled = 0;
    std::atomic<std::size_t> bodyBytes = 0;
    std::atomic<std::size_t> headerFields = 0;
    HttpServer server;
};

/// Takes one connection, answers the first request with the given text and keeps the connection open.
class ScriptedServer
{
public:
    explicit ScriptedServer(const Endpoint &endpoint)
        : m_acceptor(m_context, {asio::ip::make_address(endpoint.address), endpoint.port})
        , m_socket(m_context)
    {
    }

    void answerFirst(const std::string &text)
    {
        m_acceptor.accept(m_socket);
        char request[4096];
        m_socket.read_some(asio::buffer(request));
        asio::write(m_socket, asio::buffer(text));
    }

private:
    asio::io_context m_context;
    asio::ip::tcp::acceptor m_acceptor;
    asio::ip::tcp::socket m_socket;
};

/// Keeps a loop busy with a handler that queues itself again, and counts the rounds of the loop's queue.
class BusyLoop
{
public:
    /// The loop runs nothing until release().
    explicit BusyLoop(asio::io_context &loop)
        : m_loop(loop)
    {
        asio::post(m_loop, [this, released = m_released.get_future().share()] {
            released.wait();
            runRound();
        });
    }

    void release()
    {
        m_released.set_value();
    }

    /// Stops counting when the condition holds at the beginning of a round. Called before release().
    void countUntil(std::function<bool()> condition)
    {
        m_condition = std::move(condition);
    }

    /// The number of rounds until the condition held; at most MaxRounds.
    int countedRounds()
    {
        return m_counted.get_future().get();
    }

    static constexpr int MaxRounds = 5000;

private:
    void runRound()
    {
        if (m_rounds == MaxRounds || m_condition()) {
            m_counted.set_value(m_rounds);
            return;
        }
        ++m_rounds;
        asio::post(m_loop, [this] {
            runRound();
        });
    }

    asio::io_context &m_loop;
    std::promise<void> m_released;
    std::promise<int> m_counted;
    std::function<bool()> m_condition;
    int m_rounds = 0;
};

int statusOf(const std::string &answer)
{
    return answer.size() < 12 ? 0 : std::stoi(answer.substr(9, 3));
}

void waitFor(const std::function<bool()> &condition)
{
    const auto limit = Clock::now() + Seconds(30);
    while (!condition() && Clock::now() < limit) {
        std::this_thread::sleep_for(Milliseconds(5));
    }
    BOOST_TEST(condition());
}
} // namespace

BOOST_AUTO_TEST_SUITE(HttpSuite, *boost::unit_test::label("net"))

BOOST_AUTO_TEST_CASE(A_request_of_which_a_byte_has_come_counts_as_in_flight)
{
    Door door {HttpLimits()};
    RawConnection caller(door.endpoint);
    caller.send("GET / HT");
    waitFor([&] {
        return door.server.requestsInFlight() == 1;
    });
    door.server.beginDrain();
    caller.send("TP/1.1\r\nHost: h\r\n\r\n");
    BOOST_TEST(statusOf(caller.readAll()) == 200);
    waitFor([&] {
        return door.server.requestsInFlight() == 0;
    });
}

BOOST_AUTO_TEST_CASE(A_half_sent_header_is_refused_when_its_time_is_over)
{
    HttpLimits limits;
    limits.requestTime = Milliseconds(100);
    Door door {limits};
    RawConnection caller(door.endpoint);
    caller.send("GET / HTTP/1.1\r\nHo");
    BOOST_TEST(statusOf(caller.readAll()) == 408);
    BOOST_TEST(door.handled == 0);
}

BOOST_AUTO_TEST_CASE(A_half_sent_body_is_refused_when_its_time_is_over)
{
    HttpLimits limits;
    limits.requestTime = Milliseconds(100);
    Door door {limits};
    RawConnection caller(door.endpoint);
    caller.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc");
    BOOST_TEST(statusOf(caller.readAll()) == 408);
    BOOST_TEST(door.handled == 0);
}

BOOST_AUTO_TEST_CASE(A_huge_header_is_refused)
{
    Door door {HttpLimits()};
    RawConnection caller(door.endpoint);
    caller.send("GET / HTTP/1.1\r\nHost: " + std::string(20000, 'h') + "\r\n\r\n");
    BOOST_TEST(statusOf(caller.readAll()) == 431);
    BOOST_TEST(door.handled == 0);
}

BOOST_AUTO_TEST_CASE(Bodies_that_exceed_the_memory_of_the_door_together_are_refused)
{
    HttpLimits limits;
    limits.bodyBytesInTotal = 15;
    limits.requestTime = Milliseconds(500);
    Door door {limits};
    RawConnection first(door.endpoint);
    first.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc");
    waitFor([&] {
        return door.server.requestsInFlight() == 1;
    });
    RawConnection second(door.endpoint);
    second.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nabc");
    BOOST_TEST(statusOf(second.readAll()) == 503);
}

BOOST_AUTO_TEST_CASE(Connections_beyond_the_limit_are_closed_while_all_others_are_busy)
{
    HttpLimits limits;
    limits.connections = 1;
    Door door(limits, Seconds(60));
    RawConnection first(door.endpoint);
    first.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    waitFor([&] {
        return door.handled == 1;
    });
    RawConnection second(door.endpoint);
    BOOST_TEST(second.readAll().empty());
    BOOST_TEST(door.handled == 1);
    BOOST_TEST(door.server.counts().refusedConnections == 1);
}

// Idle connections occupied every place of a door until their idle time was over.
BOOST_AUTO_TEST_CASE(A_connection_beyond_the_limit_takes_the_place_of_an_idle_one)
{
    HttpLimits limits;
    limits.connections = 2;
    Door door {limits};
    RawConnection answered(door.endpoint);
    answered.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    waitFor([&] {
        return door.handled == 1;
    });
    RawConnection unused(door.endpoint);
    RawConnection third(door.endpoint);
    BOOST_TEST(unused.readAll().empty());
    third.send("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    BOOST_TEST(statusOf(third.readAll()) == 200);
    // The connection that was served before still is.
    answered.send("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    BOOST_TEST(statusOf(answered.readAll()) == 200);
    BOOST_TEST(door.handled == 3);
    BOOST_TEST(door.server.counts().replacedConnections == 1);
}

// Bodies counted only while they were read, so that those of waiting jobs had no bound.
BOOST_AUTO_TEST_CASE(Bodies_count_until_their_requests_are_answered)
{
    HttpLimits limits;
    limits.bodyBytesInTotal = 40;
    limits.copiesOfBody = 3;
    Door door(limits, Seconds(60));
    const std::string request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\n0123456789";
    RawConnection first(door.endpoint);
    first.send(request);
    waitFor([&] {
        return door.handled == 1;
    });
    RawConnection second(door.endpoint);
    second.send(request);
    BOOST_TEST(statusOf(second.readAll()) == 503);
    BOOST_TEST(door.handled == 1);
}

// The parser's limit does not count fields that it has taken from the buffer: with one byte of the next line, each line was taken.
BOOST_AUTO_TEST_CASE(Endless_header_lines_that_arrive_one_by_one_are_refused)
{
    constexpr int Lines = 300;
    HttpLimits limits;
    limits.headerBytes = 1000;
    Door door {limits};
    RawConnection caller(door.endpoint);
    caller.send("GET / HTTP/1.1\r\nConnection: close\r\na");
    for (int line = 0; line < Lines && caller.send("bcdefgh: 1\r\na"); ++line) {
        std::this_thread::sleep_for(Milliseconds(1));
    }
    caller.send(": 1\r\n\r\n");
    BOOST_TEST(statusOf(caller.readAll()) == 431);
    BOOST_TEST(door.handled == 0);
}

BOOST_AUTO_TEST_CASE(Headers_that_exceed_the_memory_of_the_door_together_are_refused)
{
    HttpLimits limits;
    limits.headerMemoryInTotal = 20000;
    Door door(limits, Seconds(60));
    std::string request = "GET / HTTP/1.1\r\n";
    for (int field = 0; field < 60; ++field) {
        request += "a:\r\n";
    }
    RawConnection first(door.endpoint);
    first.send(request + "\r\n");
    waitFor([&] {
        return door.handled == 1;
    });
    RawConnection second(door.endpoint);
    second.send(request + "\r\n");
    BOOST_TEST(statusOf(second.readAll()) == 503);
    BOOST_TEST(door.handled == 1);
}

BOOST_AUTO_TEST_CASE(Trailers_and_chunk_extensions_beyond_the_limit_are_refused)
{
    const std::string head = "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string tooLong(20000, 'x');
    std::string manyLines;
    for (int line = 0; line < 3000; ++line) {
        manyLines += "a: b\r\n";
    }
    Door door {HttpLimits()};
    for (const auto &rest : {"0\r\n" + manyLines + "\r\n", "0\r\na: " + tooLong + "\r\n\r\n", "1;" + tooLong + "\r\nx\r\n0\r\n\r\n"}) {
        RawConnection caller(door.endpoint);
        caller.send(head + rest);
        BOOST_TEST(statusOf(caller.readAll()) == 431);
    }
    BOOST_TEST(door.handled == 0);
}

BOOST_AUTO_TEST_CASE(Chunks_with_more_framing_than_a_body_of_single_bytes_needs_are_refused)
{
    HttpLimits limits;
    limits.bodyBytes = 5000;
    limits.headerBytes = 1000;
    Door door {limits};
    RawConnection caller(door.endpoint);
    std::string request = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (int chunk = 0; chunk < 1000; ++chunk) {
        request += "1;" + std::string(500, 'e') + "\r\nx\r\n";
    }
    caller.send(request + "0\r\n\r\n");
    BOOST_TEST(statusOf(caller.readAll()) == 413);
    BOOST_TEST(door.handled == 0);
}

BOOST_AUTO_TEST_CASE(A_body_of_one_byte_chunks_with_trailers_is_read_and_the_trailers_are_dropped)
{
    constexpr std::size_t Bytes = 5000;
    HttpLimits limits;
    limits.bodyBytes = Bytes;
    Door door {limits};
    RawConnection caller(door.endpoint);
    std::string request = "POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::size_t chunk = 0; chunk < Bytes; ++chunk) {
        request += "1\r\nx\r\n";
    }
    caller.send(request + "0\r\nChecksum: 1\r\n\r\n");
    BOOST_TEST(statusOf(caller.readAll()) == 200);
    BOOST_TEST(door.bodyBytes == Bytes);
    BOOST_TEST(door.headerFields == 3);
}

// A timeout only cancels a read that waits; a client that sent without a pause was read for ever.
BOOST_AUTO_TEST_CASE(A_request_that_arrives_without_a_pause_is_refused_when_its_time_is_over)
{
    constexpr std::size_t MaxSent = std::size_t(1024) * 1024 * 1024;
    HttpLimits limits;
    limits.requestTime = Milliseconds(100);
    limits.bodyBytes = 2 * MaxSent;
    limits.bodyBytesInTotal = 2 * MaxSent;
    Door door {limits};
    RawConnection caller(door.endpoint);
    caller.send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
    std::string chunks;
    for (int chunk = 0; chunk < 10000; ++chunk) {
        chunks += "1\r\nx\r\n";
    }
    std::size_t sent = 0;
    while (sent < MaxSent && door.server.counts().refusedRequests == 0 && caller.send(chunks)) {
        sent += chunks.size();
    }
    BOOST_TEST(sent < MaxSent);
    BOOST_TEST(door.server.counts().refusedRequests == 1);
    BOOST_TEST(door.handled == 0);
}

BOOST_AUTO_TEST_CASE(What_is_dropped_after_a_refusal_is_bounded)
{
    constexpr std::size_t MaxSent = std::size_t(64) * 1024 * 1024;
    HttpLimits limits;
    limits.bodyBytes = 1000;
    limits.requestTime = Seconds(60);
    Door door {limits};
    RawConnection caller(door.endpoint);
    caller.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1000000000\r\n\r\n");
    const std::string part(60000, 'x');
    std::size_t sent = 0;
    while (sent < MaxSent && caller.send(part)) {
        sent += part.size();
    }
    BOOST_TEST(sent < MaxSent);
    BOOST_TEST(door.handled == 0);
}

BOOST_AUTO_TEST_CASE(Many_callers_who_connect_at_once_are_read_within_a_few_rounds_of_a_busy_loop)
{
    constexpr int Callers = 200;
    constexpr int FewRounds = 40;
    Door door {HttpLimits()};
    BusyLoop busy(door.loops.at(0));
    busy.countUntil([&] {
        return door.handled == Callers;
    });
    std::vector<std::unique_ptr<RawConnection>> callers;
    for (int i = 0; i < Callers; ++i) {
        callers.push_back(std::make_unique<RawConnection>(door.endpoint));
        BOOST_TEST(callers.back()->send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}"));
    }
    busy.release();
    const auto rounds = busy.countedRounds();
    BOOST_TEST_MESSAGE("rounds: " << rounds);
    BOOST_TEST(rounds <= FewRounds);
    BOOST_TEST(door.handled == Callers);
}

BOOST_AUTO_TEST_CASE(A_body_that_comes_in_parts_is_read_whole)
{
    const std::string body(10000, 'b');
    Door door {HttpLimits()};
    RawConnection caller(door.endpoint);
    caller.send("POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 10000\r\n\r\n" + body.substr(0, 5000));
    waitFor([&] {
        return door.server.requestsInFlight() == 1;
    });
    caller.send(body.substr(5000));
    BOOST_TEST(statusOf(caller.readAll()) == 200);
    BOOST_TEST(door.bodyBytes == 10000);
}

BOOST_AUTO_TEST_CASE(Requests_that_come_together_are_read_one_by_one)
{
    Door door {HttpLimits()};
    RawConnection caller(door.endpoint);
    caller.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}"
                "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
                "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    caller.readAll();
    BOOST_TEST(door.handled == 3);
    BOOST_TEST(door.bodyBytes == 5);
}

BOOST_AUTO_TEST_CASE(A_request_that_has_come_whole_is_read_within_two_rounds_of_a_busy_loop)
{
    Door door {HttpLimits()};
    RawConnection caller(door.endpoint);
    caller.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}");
    waitFor([&] {
        return door.handled == 1;
    });
    BusyLoop busy(door.loops.at(0));
    busy.countUntil([&] {
        return door.handled == 2;
    });
    caller.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n{}");
    busy.release();
    const auto rounds = busy.countedRounds();
    BOOST_TEST_MESSAGE("rounds: " << rounds);
    BOOST_TEST(rounds <= 2);
}

BOOST_AUTO_TEST_CASE(A_connection_on_which_a_second_answer_came_is_not_reused)
{
    const auto endpoint = freeEndpoint();
    ScriptedServer server(endpoint);
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";
    auto answered = std::async(std::launch::async, [&] {
        server.answerFirst(answer + answer);
    });
    asio::io_context loop;
    HttpConnection connection(loop.get_executor(), endpoint, "");
    auto reply = asio::co_spawn(loop, connection.call(HttpCall("GET", "/"), Seconds(30)), asio::use_future);
    loop.run();
    answered.get();
    BOOST_TEST((reply.get().progress == CallProgress::Answered));
    BOOST_TEST(!connection.isReusable());
}

BOOST_AUTO_TEST_CASE(A_call_that_could_not_connect_was_not_sent)
{
    const auto reply = runCoroutine(callOnce(freeEndpoint(), HttpCall("GET", "/"), Seconds(30)));
    BOOST_TEST((reply.progress == CallProgress::NotSent));
}

BOOST_AUTO_TEST_CASE(A_call_of_which_a_part_was_written_counts_as_sent)
{
    const auto endpoint = freeEndpoint();
    asio::io_context context;
    asio::ip::tcp::acceptor silent(context, {asio::ip::make_address(endpoint.address), endpoint.port});
    const auto reply = runCoroutine(callOnce(endpoint, HttpCall("POST", "/", std::string(32'000'000, 'x')), Milliseconds(300)));
    BOOST_TEST((reply.progress == CallProgress::Sent));
}

BOOST_AUTO_TEST_CASE(Callers_who_connect_one_by_one_are_spread_over_all_loops)
{
    const auto endpoint = freeEndpoint();
    EventLoops loops(2);
    std::mutex mutex;
    std::map<std::thread::id, int> handled;
    {
        HttpServer server(
            loops,
            endpoint,
            HttpLimits(),
            [&](HttpRequest, HttpPeer &) -> asio::awaitable<HttpResponse> {
                {
                    const std::lock_guard lock(mutex);
                    ++handled[std::this_thread::get_id()];
                }
                co_return HttpResponse();
            },
            [](ResultCode) {
                return HttpResponse();
            });
        asio::io_context context;
        for (int call = 0; call < 20; ++call) {
            asio::ip::tcp::socket socket(context);
            socket.connect({asio::ip::make_address(endpoint.address), endpoint.port});
            asio::write(socket,
                        asio::buffer(std::string("POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 2\r\n\r\n{}")));
            char answer[512];
            boost::system::error_code error;
            while (socket.read_some(asio::buffer(answer), error) > 0) { }
        }
        loops.stop();
    }
    BOOST_TEST(handled.size() == 2);
}

BOOST_AUTO_TEST_SUITE_END()
