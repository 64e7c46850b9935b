#include "net/httpserver.h"

#include "net/connectiontable.h"
#include "net/counted.h"
#include "net/disconnectwatch.h"
#include "net/memorybudget.h"
#include "net/readtimeout.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <glog/logging.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <limits>
#include <memory>
#include <optional>
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
/// Connections that may turn out to be useful when they are to be closed for a new one; then the new one is closed.
constexpr int MaxCloseAttempts = 4;
/// Memory of a header field beside its bytes, in the parser and in the request.
constexpr std::size_t BytesPerField = 160;
/// A body may arrive as this many times its bytes: a chunk of one byte takes six.
constexpr std::size_t MaxChunkedExpansion = 8;
/// After a refusal, this many times the largest body is read and dropped.
constexpr std::size_t MaxDiscardedBodies = 16;
constexpr std::size_t MinReadBytes = 4096;
constexpr std::size_t MaxReadBytes = std::size_t(64) * 1024;
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
    ConnectionTable connections;
    std::atomic<std::size_t> inFlight = 0;
    std::atomic<std::size_t> bodyBytes = 0;
    std::atomic<std::size_t> headerMemory = 0;
    std::atomic<std::uint64_t> replacedConnections = 0;
    std::atomic<std::uint64_t> refusedConnections = 0;
    std::atomic<std::uint64_t> refusedRequests = 0;
    std::atomic<bool> draining = false;
    /// The loop for the next connection that acceptWaiting() finds; null when it was used. Drawn once for each connection, so that all
    /// loops get their share.
    asio::io_context *unusedLoop = nullptr;
};

namespace
{
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

/// The request without its body.
HttpRequest toRequest(const http::request<http::string_body> &message, const std::string &remoteAddress)
{
    HttpRequest request;
    request.method = std::string(message.method_string());
    const std::string target(message.target());
    const auto mark = target.find('?');
    request.path = target.substr(0, mark);
    request.query = mark == std::string::npos ? std::string() : target.substr(mark + 1);
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

/// One connection: reads a request, calls the handler, writes the answer, and again. Used on its own loop, except for its construction.
class Session : public std::enable_shared_from_this<Session>
{
public:
    Session(tcp::socket socket, std::shared_ptr<HttpServer::Shared> shared)
        : m_stream(std::move(socket))
        , m_timeout(std::make_shared<ReadTimeout>(m_stream.socket()))
        , m_shared(std::move(shared))
        , m_headerMemory(m_shared->headerMemory)
        , m_bodyMemory(m_shared->bodyBytes)
    {
        boost::system::error_code error;
        m_stream.socket().set_option(tcp::no_delay(true), error);
        m_stream.socket().non_blocking(true, error);
        const auto remote = m_stream.socket().remote_endpoint(error);
        m_remoteAddress = error ? std::string() : remote.address().to_string();
    }

    ~Session()
    {
        m_timeout->end();
        m_shared->connections.remove(m_id);
    }

    Session(const Session &) = delete;
    Session &operator=(const Session &) = delete;

    /// Counts the connection. Called once, before run().
    void add()
    {
        m_id = m_shared->connections.add([weak = weak_from_this(), executor = m_stream.get_executor()] {
            asio::dispatch(executor, [weak] {
                if (const auto self = weak.lock()) {
                    self->closeUnlessUseful();
                }
            });
        });
    }

    asio::awaitable<void> run()
    {
        while (co_await serveOne()) { }
        boost::system::error_code error;
        m_stream.socket().shutdown(tcp::socket::shutdown_send, error);
    }

private:
    using Parser = http::request_parser<http::string_body>;

    enum class ReadResult {
        Whole,
        /// The request is refused with m_refusal.
        Refused,
        Closed,
    };

    void setUse(ConnectionUse use)
    {
        m_use = use;
        m_shared->connections.setUse(m_id, use);
    }

    /// Makes room for another connection. A connection on which a request waits to be read stays open: its caller could not tell whether
    /// the job has run.
    void closeUnlessUseful()
    {
        boost::system::error_code error;
        const bool waits = m_use == ConnectionUse::Idle || m_use == ConnectionUse::Unused;
        if (m_use == ConnectionUse::Busy || (waits && m_stream.socket().available(error) > 0)) {
            m_shared->connections.setUse(m_id, m_use);
            return;
        }
        m_shared->replacedConnections.fetch_add(1);
        m_stream.socket().close(error);
    }

    asio::awaitable<bool> serveOne()
    {
        if (!co_await waitForFirstBytes()) {
            co_return false;
        }
        const Counted inFlight(m_shared->inFlight);
        setUse(ConnectionUse::Reading);
        HttpRequest request;
        const auto result = co_await readWhole(request);
        m_timeout->end();
        if (result == ReadResult::Closed) {
            co_return false;
        }
        setUse(ConnectionUse::Busy);
        if (result == ReadResult::Refused) {
            co_await refuse();
            co_return false;
        }
        auto watch = std::make_shared<DisconnectWatch>(m_stream.socket());
        auto response = co_await m_shared->handler(std::move(request), *watch);
        watch->end();
        if (response.abort) {
            co_return false;
        }
        // An answer is written even if it exceeds the total.
        m_bodyMemory.set(response.body.size());
        const bool written = co_await write(std::move(response), m_keepAlive && !m_shared->draining.load());
        m_bodyMemory.release();
        m_headerMemory.set(m_buffer.capacity());
        co_return written;
    }

    /// The first byte may take the idle time; from then on the request has its own, shorter limit. Holds no buffer while it waits.
    asio::awaitable<bool> waitForFirstBytes()
    {
        if (m_buffer.size() > 0) {
            co_return true;
        }
        m_buffer.shrink_to_fit();
        m_headerMemory.release();
        setUse(m_hasServed ? ConnectionUse::Idle : ConnectionUse::Unused);
        m_hasServed = true;
        m_stream.expires_never();
        m_timeout->begin(m_shared->limits()->idleTime);
        boost::system::error_code error;
        do {
            error = std::get<0>(co_await m_stream.socket().async_wait(tcp::socket::wait_read, Awaitable));
            if (!error) {
                const auto count = m_stream.socket().read_some(m_buffer.prepare(MinReadBytes), error);
                m_buffer.commit(count);
            }
        } while (error == asio::error::would_block && !m_timeout->hasPassed());
        m_timeout->end();
        co_return !error;
    }

    /// Reads a request. Whatever the parser holds is freed on return.
    asio::awaitable<ReadResult> readWhole(HttpRequest &request)
    {
        m_stream.expires_never();
        const auto limits = m_shared->limits();
        m_timeout->begin(limits->requestTime);
        Parser parser;
        parser.header_limit(static_cast<std::uint32_t>(limits->headerBytes));
        parser.body_limit(limits->bodyBytes);
        const auto headerResult = co_await readHeader(parser, *limits);
        if (headerResult != ReadResult::Whole) {
            co_return headerResult;
        }
        if (!m_headerMemory.resize(m_headerBytes + m_buffer.capacity(), limits->headerMemoryInTotal)) {
            co_return refused(ResultCode::QueueFull);
        }
        request = toRequest(parser.get(), m_remoteAddress);
        // Trailers are read and dropped: they must not pass for header fields.
        static_cast<http::fields &>(parser.get()).clear();
        const auto bodyResult = co_await readBody(parser, *limits);
        if (bodyResult != ReadResult::Whole) {
            co_return bodyResult;
        }
        m_keepAlive = parser.keep_alive();
        request.body = std::move(parser.get().body());
        if (m_buffer.size() == 0) {
            m_buffer.shrink_to_fit();
        }
        m_headerMemory.set(std::min(m_headerMemory.bytes(), m_headerBytes + m_buffer.capacity()));
        if (!m_bodyMemory.resize(request.body.size() * limits->copiesOfBody, limits->bodyBytesInTotal)) {
            co_return refused(ResultCode::QueueFull);
        }
        co_return ReadResult::Whole;
    }

    asio::awaitable<ReadResult> readHeader(Parser &parser, const HttpLimits &limits)
    {
        std::size_t bytes = 0;
        m_headerBytes = 0;
        auto error = parseHeader(parser, bytes);
        while (error == http::error::need_more) {
            // The parser's own limit does not count the fields that it has taken from the buffer.
            if (bytes + m_buffer.size() >= 2 * limits.headerBytes) {
                co_return refused(ResultCode::HeaderTooLarge);
            }
            if (!reserveForRead(MinReadBytes, limits)) {
                co_return refused(ResultCode::QueueFull);
            }
            error = co_await readSome(parser, MinReadBytes);
            if (!error) {
                error = parseHeader(parser, bytes);
            }
        }
        co_return error ? resultOf(error) : ReadResult::Whole;
    }

    asio::awaitable<ReadResult> readBody(Parser &parser, const HttpLimits &limits)
    {
        const auto maxBytes = MaxChunkedExpansion * limits.bodyBytes + limits.headerBytes;
        std::size_t bytes = 0;
        parser.eager(true);
        if (!reserveBody(parser, limits)) {
            co_return refused(ResultCode::QueueFull);
        }
        auto error = parseBuffered(parser, bytes);
        while (!parser.is_done() && (!error || error == http::error::need_more)) {
            // Only the trailers or a chunk's size and extension stay in the buffer.
            if (m_buffer.size() > limits.headerBytes) {
                co_return refused(ResultCode::HeaderTooLarge);
            }
            if (bytes > maxBytes) {
                co_return refused(ResultCode::BodyTooLarge);
            }
            // Larger reads only for those who have sent as much.
            const auto readBytes = std::clamp(bytes, MinReadBytes, MaxReadBytes);
            if (!reserveBody(parser, limits) || !reserveForRead(readBytes, limits)) {
                co_return refused(ResultCode::QueueFull);
            }
            error = co_await readSome(parser, readBytes);
            if (!error) {
                error = parseBuffered(parser, bytes);
            }
        }
        co_return error ? resultOf(error) : ReadResult::Whole;
    }

    /// The memory that the body takes: all of it if its length is declared.
    bool reserveBody(Parser &parser, const HttpLimits &limits)
    {
        const auto declared = parser.is_done() ? 0 : static_cast<std::size_t>(parser.content_length().value_or(0));
        return m_bodyMemory.resize(std::max(declared, parser.get().body().size()), limits.bodyBytesInTotal);
    }

    bool reserveForRead(std::size_t bytes, const HttpLimits &limits)
    {
        const auto buffer = std::max(m_buffer.capacity(), m_buffer.size() + bytes);
        return m_headerMemory.resize(m_headerBytes + buffer, limits.headerMemoryInTotal);
    }

    asio::awaitable<boost::system::error_code> readSome(const Parser &parser, std::size_t bytes)
    {
        auto [error, count] = co_await m_stream.socket().async_read_some(m_buffer.prepare(bytes), Awaitable);
        m_buffer.commit(count);
        if (error == asio::error::eof) {
            error = parser.got_some() ? http::error::partial_message : http::error::end_of_stream;
        }
        // The timeout cancels a read that waits; bytes that arrive without a pause never let it wait.
        if (!error && m_timeout->hasPassed()) {
            error = asio::error::timed_out;
        }
        co_return error;
    }

    /// Parses what is in the buffer, and adds the bytes that the parser has taken. Each asynchronous read, even one of bytes that are
    /// there, waits for all other work of the loop.
    boost::system::error_code parseBuffered(Parser &parser, std::size_t &bytes)
    {
        boost::system::error_code error;
        if (!parser.is_done()) {
            const auto count = parser.put(m_buffer.data(), error);
            m_buffer.consume(count);
            bytes += count;
        }
        return error;
    }

    boost::system::error_code parseHeader(Parser &parser, std::size_t &bytes)
    {
        boost::system::error_code error;
        const auto *text = static_cast<const char *>(m_buffer.data().data());
        const auto count = parser.put(m_buffer.data(), error);
        const auto lines = std::count(text, text + count, '\n');
        // Once in the parser and once in the request.
        m_headerBytes += 2 * count + static_cast<std::size_t>(lines) * BytesPerField;
        m_buffer.consume(count);
        bytes += count;
        return error;
    }

    ReadResult refused(ResultCode code)
    {
        m_refusal = code;
        return ReadResult::Refused;
    }

    ReadResult resultOf(const boost::system::error_code &error)
    {
        if (m_timeout->hasPassed()) {
            return refused(ResultCode::RequestTimeout);
        }
        return deservesAnswer(error) ? refused(codeOf(error)) : ReadResult::Closed;
    }

    asio::awaitable<void> refuse()
    {
        m_shared->refusedRequests.fetch_add(1);
        m_buffer.clear();
        m_buffer.shrink_to_fit();
        m_headerMemory.release();
        m_bodyMemory.release();
        co_await write(m_shared->refusal(m_refusal), false);
        setUse(ConnectionUse::Discarding);
        co_await discardRest();
    }

    /// Reads and drops what the caller still sends, so that the refusal is not lost to a connection reset.
    asio::awaitable<void> discardRest()
    {
        const auto limits = m_shared->limits();
        auto &socket = m_stream.socket();
        boost::system::error_code error;
        socket.shutdown(tcp::socket::shutdown_send, error);
        m_stream.expires_never();
        m_timeout->begin(limits->requestTime);
        std::size_t bytes = 0;
        error = {};
        while (!error && !m_timeout->hasPassed() && bytes < MaxDiscardedBodies * limits->bodyBytes) {
            error = std::get<0>(co_await socket.async_wait(tcp::socket::wait_read, Awaitable));
            if (!error) {
                bytes += discardOnce(error);
            }
        }
        m_timeout->end();
    }

    /// Reads what has arrived, into memory that no connection holds.
    std::size_t discardOnce(boost::system::error_code &error)
    {
        std::array<char, MaxReadBytes> dropped;
        const auto count = m_stream.socket().read_some(asio::buffer(dropped), error);
        if (error == asio::error::would_block) {
            error = {};
        }
        return count;
    }

    asio::awaitable<bool> write(HttpResponse response, bool keepAlive)
    {
        auto message = toMessage(std::move(response), keepAlive);
        m_stream.expires_after(m_shared->limits()->requestTime);
        auto [error, count] = co_await http::async_write(m_stream, message, Awaitable);
        co_return !error && keepAlive;
    }

    beast::tcp_stream m_stream;
    beast::flat_buffer m_buffer;
    std::shared_ptr<ReadTimeout> m_timeout;
    std::shared_ptr<HttpServer::Shared> m_shared;
    MemoryReservation m_headerMemory;
    MemoryReservation m_bodyMemory;
    std::string m_remoteAddress;
    ConnectionTable::Id m_id = 0;
    ConnectionUse m_use = ConnectionUse::Unused;
    /// Memory of the present request's header.
    std::size_t m_headerBytes = 0;
    ResultCode m_refusal = ResultCode::MalformedBody;
    bool m_keepAlive = false;
    bool m_hasServed = false;
};

asio::awaitable<void> serve(std::shared_ptr<Session> session)
{
    co_await session->run();
}

/// Closes the least useful connection; false when all are busy.
bool closeLeastUseful(HttpServer::Shared &shared)
{
    const auto close = shared.connections.takeLeastUseful();
    if (close) {
        close();
    }
    return static_cast<bool>(close);
}

/// Serves a connection, in the place of another one if the limit is reached, or closes it.
void startSession(const std::shared_ptr<HttpServer::Shared> &shared, asio::io_context &loop, tcp::socket socket)
{
    const auto limit = shared->limits()->connections;
    for (int attempt = 0; shared->connections.size() >= limit; ++attempt) {
        if (attempt == MaxCloseAttempts || !closeLeastUseful(*shared)) {
            shared->refusedConnections.fetch_add(1);
            return;
        }
    }
    auto session = std::make_shared<Session>(std::move(socket), shared);
    session->add();
    asio::co_spawn(loop, serve(std::move(session)), asio::detached);
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
        startSession(shared, loop, std::move(socket));
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
        if (error == asio::error::no_descriptors) {
            closeLeastUseful(*shared);
        }
        if (error) {
            asio::steady_timer pause(shared->acceptor.get_executor(), AcceptRetryDelay);
            co_await pause.async_wait(Awaitable);
            continue;
        }
        startSession(shared, loop, std::move(socket));
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

HttpServerCounts HttpServer::counts() const
{
    return {m_shared->replacedConnections.load(), m_shared->refusedConnections.load(), m_shared->refusedRequests.load()};
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
