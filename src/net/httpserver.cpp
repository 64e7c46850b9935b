#include "net/httpserver.h"

#include "net/counted.h"
#include "net/disconnectwatch.h"
#include "net/readtimeout.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <glog/logging.h>

#include <atomic>
#include <limits>
#include <utility>

namespace Anvilcart
{
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace
{
constexpr auto Awaitable = asio::as_tuple(asio::use_awaitable);
constexpr Milliseconds AcceptRetryDelay {50};
/// Few enough that other work of the loop is not held up for long.
constexpr std::size_t MaxAcceptedAtOnce = 64;
} // namespace

struct HttpServer::Shared
{
    Shared(EventLoops &loops, const Endpoint &endpoint, const HttpLimits &limits, HttpHandler handler, HttpRefusal refusal)
        : loops(loops)
        , m_limits(std::make_shared<const HttpLimits>(limits))
        , handler(std::move(handler))
        , refusal(std::move(refusal))
        , acceptor(loops.at(0), tcp::endpoint(asio::ip::make_address(endpoint.address), endpoint.port))
    {
        acceptor.non_blocking(true);
    }

    std::shared_ptr<const HttpLimits> limits() const
    {
        return std::atomic_load(&m_limits);
    }

    EventLoops &loops;
    std::shared_ptr<const HttpLimits> m_limits;
    HttpHandler handler;
    HttpRefusal refusal;
    tcp::acceptor acceptor;
    std::atomic<std::size_t> connections = 0;
    std::atomic<std::size_t> inFlight = 0;
    std::atomic<std::size_t> bodyBytes = 0;
    std::atomic<bool> draining = false;
    /// The loop for the next connection that acceptWaiting() finds; null when it was used. Drawn once for each connection, so that all
    /// loops get their share.
    asio::io_context *unusedLoop = nullptr;
};

namespace
{
/// Holds a part of the memory that the bodies of a door may take, for as long as it lives.
class BodyReservation
{
public:
    BodyReservation(HttpServer::Shared &shared, std::size_t bytes)
        : m_shared(shared)
        , m_bytes(bytes)
        , m_granted(shared.bodyBytes.fetch_add(bytes) + bytes <= shared.limits()->bodyBytesInTotal)
    {
    }

    ~BodyReservation()
    {
        m_shared.bodyBytes.fetch_sub(m_bytes);
    }

    BodyReservation(const BodyReservation &) = delete;
    BodyReservation &operator=(const BodyReservation &) = delete;

    bool isGranted() const
    {
        return m_granted;
    }

private:
    HttpServer::Shared &m_shared;
    std::size_t m_bytes;
    bool m_granted;
};

ResultCode codeOf(const boost::system::error_code &error)
{
    if (error == http::error::body_limit) {
        return ResultCode::BodyTooLarge;
    }
    if (error == http::error::header_limit) {
        return ResultCode::HeaderTooLarge;
    }
    return ResultCode::MalformedBody;
}

bool deservesAnswer(const boost::system::error_code &error)
{
    return error != http::error::end_of_stream && error != asio::error::connection_reset && error != asio::error::operation_aborted;
}

HttpRequest toRequest(http::request<http::string_body> &&message, const std::string &remoteAddress)
{
    HttpRequest request;
    request.method = std::string(message.method_string());
    const std::string target(message.target());
    const auto mark = target.find('?');
    request.path = target.substr(0, mark);
    request.query = mark == std::string::npos ? std::string() : target.substr(mark + 1);
    request.body = std::move(message.body());
    request.remoteAddress = remoteAddress;
    for (const auto &field : message) {
        request.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    return request;
}

http::response<http::string_body> toMessage(HttpResponse &&response, bool keepAlive)
{
    http::response<http::string_body> message(static_cast<http::status>(response.status), 11);
    message.set(http::field::content_type, response.contentType);
    for (const auto &header : response.headers) {
        message.set(header.name, header.value);
    }
    message.body() = std::move(response.body);
    message.keep_alive(keepAlive);
    message.prepare_payload();
    return message;
}

/// One connection: reads a request, calls the handler, writes the answer, and again.
class Session
{
public:
    Session(tcp::socket socket, std::shared_ptr<HttpServer::Shared> shared)
        : m_stream(std::move(socket))
        , m_timeout(std::make_shared<ReadTimeout>(m_stream.socket()))
        , m_shared(std::move(shared))
    {
        boost::system::error_code error;
        m_stream.socket().set_option(tcp::no_delay(true), error);
        const auto remote = m_stream.socket().remote_endpoint(error);
        m_remoteAddress = error ? std::string() : remote.address().to_string();
    }

    ~Session()
    {
        m_timeout->end();
    }

    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;

    asio::awaitable<void> run()
    {
        const Counted connection(m_shared->connections);
        if (m_shared->connections.load() > m_shared->limits()->connections) {
            co_return;
        }
        while (co_await serveOne()) { }
        boost::system::error_code error;
        m_stream.socket().shutdown(tcp::socket::shutdown_send, error);
    }

private:
    asio::awaitable<bool> serveOne()
    {
        if (!co_await waitForFirstBytes()) {
            co_return false;
        }
        const Counted request(m_shared->inFlight);
        http::request_parser<http::string_body> parser;
        parser.header_limit(static_cast<std::uint32_t>(m_shared->limits()->headerBytes));
        parser.body_limit(m_shared->limits()->bodyBytes);
        if (!co_await readWhole(parser)) {
            co_return false;
        }
        const bool keepAlive = parser.get().keep_alive();
        auto watch = std::make_shared<DisconnectWatch>(m_stream.socket());
        auto response = co_await m_shared->handler(toRequest(parser.release(), m_remoteAddress), *watch);
        watch->end();
        if (response.abort) {
            co_return false;
        }
        co_return co_await write(std::move(response), keepAlive && !m_shared->draining.load());
    }

    /// The first byte may take the idle time; from then on the request has its own, shorter limit.
    asio::awaitable<bool> waitForFirstBytes()
    {
        if (m_buffer.size() > 0) {
            co_return true;
        }
        m_stream.expires_after(m_shared->limits()->idleTime);
        auto [error, count] = co_await m_stream.async_read_some(m_buffer.prepare(ReadChunk), Awaitable);
        m_buffer.commit(count);
        co_return !error;
    }

    asio::awaitable<bool> readWhole(http::request_parser<http::string_body> &parser)
    {
        m_stream.expires_never();
        m_timeout->begin(m_shared->limits()->requestTime);
        auto error = parseBuffered(parser);
        if (error == http::error::need_more) {
            error = std::get<0>(co_await http::async_read_header(m_stream, m_buffer, parser, Awaitable));
        }
        if (error) {
            co_return co_await refuse(error);
        }
        const BodyReservation reservation(*m_shared, bodyBytesOf(parser));
        if (!reservation.isGranted()) {
            co_return co_await refuse(ResultCode::QueueFull);
        }
        parser.eager(true);
        error = parseBuffered(parser);
        if (!parser.is_done() && (!error || error == http::error::need_more)) {
            error = std::get<0>(co_await http::async_read(m_stream, m_buffer, parser, Awaitable));
        }
        if (error) {
            co_return co_await refuse(error);
        }
        m_timeout->end();
        co_return true;
    }

    /// Parses what has been read already: each asynchronous read, even one of bytes that are there, waits for all other work of the loop.
    boost::system::error_code parseBuffered(http::request_parser<http::string_body> &parser)
    {
        boost::system::error_code error;
        if (!parser.is_done()) {
            m_buffer.consume(parser.put(m_buffer.data(), error));
        }
        return error;
    }

    /// The memory that the body may take; one without a declared length may take the whole limit.
    std::size_t bodyBytesOf(const http::request_parser<http::string_body> &parser) const
    {
        if (parser.is_done()) {
            return 0;
        }
        return parser.content_length() ? static_cast<std::size_t>(*parser.content_length()) : m_shared->limits()->bodyBytes;
    }

    asio::awaitable<bool> refuse(boost::system::error_code error)
    {
        if (m_timeout->hasPassed()) {
            co_return co_await refuse(ResultCode::RequestTimeout);
        }
        if (!deservesAnswer(error)) {
            co_return false;
        }
        co_return co_await refuse(codeOf(error));
    }

    asio::awaitable<bool> refuse(ResultCode code)
    {
        m_timeout->end();
        co_await write(m_shared->refusal(code), false);
        co_await discardRest();
        co_return false;
    }

    /// Reads and drops what the caller still sends, so that the refusal is not lost to a connection reset.
    asio::awaitable<void> discardRest()
    {
        boost::system::error_code error;
        m_stream.socket().shutdown(tcp::socket::shutdown_send, error);
        m_stream.expires_after(m_shared->limits()->requestTime);
        m_buffer.clear();
        bool open = true;
        while (open) {
            auto [readError, count] = co_await m_stream.async_read_some(m_buffer.prepare(DiscardChunk), Awaitable);
            open = !readError;
        }
    }

    asio::awaitable<bool> write(HttpResponse response, bool keepAlive)
    {
        auto message = toMessage(std::move(response), keepAlive);
        m_stream.expires_after(m_shared->limits()->requestTime);
        auto [error, count] = co_await http::async_write(m_stream, message, Awaitable);
        co_return !error && keepAlive;
    }

    static constexpr std::size_t ReadChunk = 4096;
    static constexpr std::size_t DiscardChunk = 65536;

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::shared_ptr<ReadTimeout> m_timeout;
    std::shared_ptr<HttpServer::Shared> m_shared;
    std::string m_remoteAddress;
};

asio::awaitable<void> serve(tcp::socket socket, std::shared_ptr<HttpServer::Shared> shared)
{
    Session session(std::move(socket), std::move(shared));
    co_await session.run();
}

/// Accepts connections that wait already, up to a number of them. Runs on the acceptor's loop only.
void acceptWaiting(const std::shared_ptr<HttpServer::Shared> &shared, std::size_t limit)
{
    boost::system::error_code error;
    for (std::size_t count = 0; count < limit; ++count) {
        if (shared->unusedLoop == nullptr) {
            shared->unusedLoop = &shared->loops.next();
        }
        tcp::socket socket(*shared->unusedLoop);
        shared->acceptor.accept(socket, error);
        if (error) {
            return;
        }
        auto &loop = *std::exchange(shared->unusedLoop, nullptr);
        asio::co_spawn(loop, serve(std::move(socket), shared), asio::detached);
    }
}

/// Accepts what waits, then closes the acceptor: closing alone would reset those connections.
void closeAcceptor(const std::shared_ptr<HttpServer::Shared> &shared)
{
    acceptWaiting(shared, std::numeric_limits<std::size_t>::max());
    boost::system::error_code error;
    shared->acceptor.close(error);
}

asio::awaitable<void> accept(std::shared_ptr<HttpServer::Shared> shared)
{
    while (shared->acceptor.is_open()) {
        auto &loop = shared->loops.next();
        auto [error, socket] = co_await shared->acceptor.async_accept(loop, Awaitable);
        if (error == asio::error::operation_aborted) {
            co_return;
        }
        if (error) {
            asio::steady_timer pause(shared->acceptor.get_executor(), AcceptRetryDelay);
            co_await pause.async_wait(Awaitable);
            continue;
        }
        asio::co_spawn(loop, serve(std::move(socket), shared), asio::detached);
        // Each completion of async_accept() waits for all other work of the loop.
        acceptWaiting(shared, MaxAcceptedAtOnce - 1);
    }
}
} // namespace

HttpServer::HttpServer(EventLoops &loops, const Endpoint &endpoint, const HttpLimits &limits, HttpHandler handler, HttpRefusal refusal)
    : m_shared(std::make_shared<Shared>(loops, endpoint, limits, std::move(handler), std::move(refusal)))
{
    asio::co_spawn(m_shared->acceptor.get_executor(), accept(m_shared), asio::detached);
}

HttpServer::~HttpServer() = default;

std::size_t HttpServer::requestsInFlight() const
{
    return m_shared->inFlight.load();
}

void HttpServer::setLimits(const HttpLimits &limits)
{
    std::atomic_store(&m_shared->m_limits, std::make_shared<const HttpLimits>(limits));
}

void HttpServer::beginDrain()
{
    m_shared->draining.store(true);
}

void HttpServer::stop()
{
    asio::post(m_shared->acceptor.get_executor(), [shared = m_shared] {
        closeAcceptor(shared);
    });
}
} // namespace Anvilcart
