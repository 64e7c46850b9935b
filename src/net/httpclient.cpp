#include "net/httpclient.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <tuple>

namespace Anvilcart
{
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;

namespace
{
constexpr auto Awaitable = asio::as_tuple(asio::use_awaitable);
constexpr std::uint64_t ReplyBodyLimit = 64 * 1024 * 1024;
constexpr Milliseconds ConnectLimit {1000};
/// A longer answer is read in parts of this size at most. By itself the buffer grows to a fraction of it, and each part waits for all other
/// work of the loop.
constexpr std::size_t LongestRead = std::size_t(64) * 1024;

HttpReply failure(CallProgress progress, const boost::system::error_code &error)
{
    HttpReply reply;
    reply.progress = progress;
    reply.timedOut = error == beast::error::timeout;
    reply.error = error.message();
    return reply;
}
} // namespace

struct HttpConnection::Private
{
    Private(const asio::any_io_executor &executor, Endpoint server, std::string sourceAddress)
        : stream(executor)
        , server(std::move(server))
        , sourceAddress(std::move(sourceAddress))
    {
    }

    asio::awaitable<boost::system::error_code> connect()
    {
        auto &socket = stream.socket();
        boost::system::error_code error;
        socket.open(tcp::v4(), error);
        if (!error) {
            // For peek(), which may be called as soon as the socket is open and must not block.
            socket.non_blocking(true, error);
        }
        if (!error && !sourceAddress.empty()) {
            socket.bind(tcp::endpoint(asio::ip::make_address(sourceAddress), 0), error);
        }
        if (error) {
            co_return error;
        }
        const tcp::endpoint remote(asio::ip::make_address(server.address), server.port);
        auto [connectError] = co_await stream.async_connect(remote, Awaitable);
        socket.set_option(tcp::no_delay(true), error);
        co_return connectError;
    }

    /// No error when bytes wait to be read, would_block when none do, and another error when the connection is closed.
    boost::system::error_code peek()
    {
        char byte = 0;
        boost::system::error_code error;
        stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
        return error;
    }

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    Endpoint server;
    std::string sourceAddress;
    bool connected = false;
};

HttpConnection::HttpConnection(const asio::any_io_executor &executor, Endpoint server, std::string sourceAddress)
    : d(std::make_unique<Private>(executor, std::move(server), std::move(sourceAddress)))
{
}

HttpConnection::~HttpConnection() = default;

bool HttpConnection::isReusable() const
{
    // A server that answered twice has left bytes that would be read as the next call's answer.
    return d->connected && d->buffer.size() == 0 && d->peek() == asio::error::would_block;
}

bool HttpConnection::isOpen() const
{
    if (!d->connected) {
        return false;
    }
    const auto error = d->peek();
    return !error || error == asio::error::would_block;
}

bool HttpConnection::isClosedByServer() const
{
    return d->connected && !isOpen();
}

asio::awaitable<HttpReply> HttpConnection::call(HttpCall call, Duration timeout)
{
    const auto limit = Clock::now() + timeout;
    if (!d->connected) {
        d->stream.expires_after(std::min<Duration>(timeout, ConnectLimit));
        const auto error = co_await d->connect();
        if (error) {
            close();
            co_return failure(CallProgress::NotSent, error);
        }
        d->connected = true;
    }
    d->stream.expires_at(limit);
    http::request<http::string_body> request(http::string_to_verb(call.method), call.target, 11);
    request.set(http::field::host, d->server.address);
    for (const auto &header : call.headers) {
        // Also replaces the host above.
        request.set(header.name, header.value);
    }
    request.body() = std::move(call.body);
    request.prepare_payload();
    auto [writeError, written] = co_await http::async_write(d->stream, request, Awaitable);
    if (writeError) {
        close();
        co_return failure(written == 0 ? CallProgress::NotSent : CallProgress::Sent, writeError);
    }
    http::response_parser<http::string_body> parser;
    parser.body_limit(ReplyBodyLimit);
    auto [headerError, headerBytes] = co_await http::async_read_header(d->stream, d->buffer, parser, Awaitable);
    auto readError = headerError;
    if (!readError) {
        d->buffer.reserve(std::min<std::size_t>(LongestRead, parser.content_length_remaining().value_or(0)));
        std::tie(readError, std::ignore) = co_await http::async_read(d->stream, d->buffer, parser, Awaitable);
        d->buffer.shrink_to_fit();
    }
    if (readError) {
        close();
        co_return failure(CallProgress::Sent, readError);
    }
    auto response = parser.release();
    HttpReply reply;
    reply.progress = CallProgress::Answered;
    reply.status = response.result_int();
    reply.keepAlive = response.keep_alive();
    reply.body = std::move(response.body());
    if (!reply.keepAlive) {
        close();
    }
    co_return reply;
}

void HttpConnection::close()
{
    boost::system::error_code error;
    d->stream.socket().close(error);
    d->buffer.clear();
    d->connected = false;
}

asio::awaitable<HttpReply> callOnce(Endpoint server, HttpCall call, Duration timeout, std::string sourceAddress)
{
    HttpConnection connection(co_await asio::this_coro::executor, std::move(server), std::move(sourceAddress));
    co_return co_await connection.call(std::move(call), timeout);
}
} // namespace Anvilcart
