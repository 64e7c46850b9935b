#include "net/httpserver.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
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
} // namespace

struct HttpServer::Shared
{
    Shared(EventLoops &loops, const Endpoint &endpoint, const HttpLimits &limits, HttpHandler handler, HttpRefusal refusal)
        : loops(loops)
        , limits(limits)
        , handler(std::move(handler))
        , refusal(std::move(refusal))
        , acceptor(loops.at(0), tcp::endpoint(asio::ip::make_address(endpoint.address), endpoint.port))
    {
    }

    EventLoops &loops;
    HttpLimits limits;
    HttpHandler handler;
    HttpRefusal refusal;
    tcp::acceptor acceptor;
    std::atomic<std::size_t> connections = 0;
    std::atomic<std::size_t> inFlight = 0;
    std::atomic<bool> draining = false;
};

namespace
{
/// Counts itself in an atomic for as long as it lives.
class Counted
{
public:
    explicit Counted(std::atomic<std::size_t> &counter)
        : m_counter(counter)
    {
        m_counter.fetch_add(1);
    }

    ~Counted()
    {
        m_counter.fetch_sub(1);
    }

    Counted(const Counted &) = delete;
    Counted &operator=(const Counted &) = delete;

private:
    std::atomic<std::size_t> &m_counter;
};

/// Watches a connection while its request is handled.
class DisconnectWatch : public HttpPeer, public std::enable_shared_from_this<DisconnectWatch>
{
public:
    explicit DisconnectWatch(tcp::socket &socket)
        : m_socket(socket)
    {
    }

    void onDisconnect(std::function<void()> action) override
    {
        m_action = std::move(action);
        m_socket.async_wait(tcp::socket::wait_read, [self = shared_from_this()](const boost::system::error_code &error) {
            if (!error && !self->m_ended) {
                self->readable();
            }
        });
    }

    void end()
    {
        if (m_action) {
            m_socket.cancel();
        }
        m_ended = true;
    }

private:
    void readable()
    {
        char byte = 0;
        boost::system::error_code error;
        m_socket.non_blocking(true, error);
        const auto count = m_socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
        if (count == 0 && error != asio::error::would_block) {
            m_action();
        }
    }

    tcp::socket &m_socket;
    std::function<void()> m_action;
    bool m_ended = false;
};

ResultCode codeOf(const boost::system::error_code &error)
{
    if (error == http::error::body_limit) {
        return ResultCode::BodyTooLarge;
    }
    if (error == http::error::header_limit) {
        return ResultCode::HeaderTooLarge;
    }
    if (error == beast::error::timeout) {
        return ResultCode::RequestTimeout;
    }
    return ResultCode::MalformedBody;
}

bool deservesAnswer(const boost::system::error_code &error, bool partlyRead)
{
    if (error == http::error::end_of_stream || error == asio::error::connection_reset || error == asio::error::operation_aborted) {
        return false;
    }
    return error != beast::error::timeout || partlyRead;
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
        , m_shared(std::move(shared))
    {
        boost::system::error_code error;
        m_stream.socket().set_option(tcp::no_delay(true), error);
        const auto remote = m_stream.socket().remote_endpoint(error);
        m_remoteAddress = error ? std::string() : remote.address().to_string();
    }

    asio::awaitable<void> run()
    {
        const Counted connection(m_shared->connections);
        if (m_shared->connections.load() > m_shared->limits.connections) {
            co_return;
        }
        while (co_await serveOne()) { }
        boost::system::error_code error;
        m_stream.socket().shutdown(tcp::socket::shutdown_send, error);
    }

private:
    asio::awaitable<bool> serveOne()
    {
        http::request_parser<http::string_body> parser;
        parser.header_limit(static_cast<std::uint32_t>(m_shared->limits.headerBytes));
        parser.body_limit(m_shared->limits.bodyBytes);
        if (!co_await readWhole(parser)) {
            co_return false;
        }
        const Counted request(m_shared->inFlight);
        const bool keepAlive = parser.get().keep_alive();
        auto watch = std::make_shared<DisconnectWatch>(m_stream.socket());
        auto response = co_await m_shared->handler(toRequest(parser.release(), m_remoteAddress), *watch);
        watch->end();
        if (response.abort) {
            co_return false;
        }
        co_return co_await write(std::move(response), keepAlive && !m_shared->draining.load());
    }

    asio::awaitable<bool> readWhole(http::request_parser<http::string_body> &parser)
    {
        // The first byte may take the idle time; from then on the request has its own, shorter limit.
        m_stream.expires_after(m_shared->limits.idleTime);
        if (m_buffer.size() == 0) {
            auto [waitError, count] = co_await m_stream.async_read_some(m_buffer.prepare(ReadChunk), Awaitable);
            if (waitError) {
                co_return false;
            }
            m_buffer.commit(count);
        }
        m_stream.expires_after(m_shared->limits.requestTime);
        auto [error, count] = co_await http::async_read(m_stream, m_buffer, parser, Awaitable);
        if (!error) {
            m_stream.expires_never();
            co_return true;
        }
        if (deservesAnswer(error, true)) {
            m_stream.expires_after(m_shared->limits.requestTime);
            co_await write(m_shared->refusal(codeOf(error)), false);
            co_await discardRest();
        }
        co_return false;
    }

    /// Reads and drops what the caller still sends, so that the refusal is not lost to a connection reset.
    asio::awaitable<void> discardRest()
    {
        boost::system::error_code error;
        m_stream.socket().shutdown(tcp::socket::shutdown_send, error);
        m_stream.expires_after(m_shared->limits.requestTime);
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
        m_stream.expires_after(m_shared->limits.requestTime);
        auto [error, count] = co_await http::async_write(m_stream, message, Awaitable);
        co_return !error && keepAlive;
    }

    static constexpr std::size_t ReadChunk = 4096;
    static constexpr std::size_t DiscardChunk = 65536;

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::shared_ptr<HttpServer::Shared> m_shared;
    std::string m_remoteAddress;
};

asio::awaitable<void> serve(tcp::socket socket, std::shared_ptr<HttpServer::Shared> shared)
{
    Session session(std::move(socket), std::move(shared));
    co_await session.run();
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

void HttpServer::beginDrain()
{
    m_shared->draining.store(true);
}

void HttpServer::stop()
{
    asio::post(m_shared->acceptor.get_executor(), [shared = m_shared] {
        boost::system::error_code error;
        shared->acceptor.close(error);
    });
}
} // namespace Anvilcart
