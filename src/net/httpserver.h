#pragma once

#include "kernel/eventloops.h"
#include "kernel/time.h"
#include "model/endpoint.h"
#include "model/resultcode.h"
#include "net/http.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace Anvilcart
{
/// Bounds of one endpoint. A request that exceeds its own bounds gets a 4xx answer; one that exceeds a bound of all connections together is
/// refused with QueueFull before it reaches the handler.
struct HttpLimits
{
    /// Of the start line, and of the fields; also of the trailers, and of a chunk's size with its extension.
    std::size_t headerBytes = 8 * 1024;
    std::size_t bodyBytes = 8 * 1024 * 1024;
    /// Bodies of all connections together until they are answered.
    std::size_t bodyBytesInTotal = 24 * 1024 * 1024;
    /// How many times its size a body counts while it is handled. bodyBytesInTotal holds a body of bodyBytes so many times.
    std::size_t copiesOfBody = 1;
    /// Memory of the header fields and read buffers of all connections together.
    std::size_t headerMemoryInTotal = 16 * 1024 * 1024;
    /// A connection beyond this number takes the place of the least useful one, or is closed if all are busy.
    std::size_t connections = 4096;
    Duration idleTime = Seconds(60);
    /// Time in which a request must arrive, an answer be read, and the rest of a refused request end.
    Duration requestTime = Seconds(10);
};

/// What an endpoint has turned away since its start.
struct HttpServerCounts
{
    /// Connections that made room for others.
    std::uint64_t replacedConnections = 0;
    /// New connections that were closed since all others were busy.
    std::uint64_t refusedConnections = 0;
    /// Requests that were refused before they reached the handler.
    std::uint64_t refusedRequests = 0;
};

/// Makes the answer to a request that never reached the handler.
using HttpRefusal = std::function<HttpResponse(ResultCode)>;

/// An HTTP/1.1 door: accepts connections, spreads them over the loops and calls the handler for each request.
class HttpServer
{
public:
    /// Binds at once; throws boost::system::system_error when the address cannot be bound.
    HttpServer(EventLoops &loops, const Endpoint &endpoint, const HttpLimits &limits, HttpHandler handler, HttpRefusal refusal);
    ~HttpServer();

    /// Requests of which a byte has come and that are not yet answered. Thread-safe.
    std::size_t requestsInFlight() const;

    /// Thread-safe.
    HttpServerCounts counts() const;

    /// Other bounds from the next request on. Thread-safe.
    void setLimits(const HttpLimits &limits);

    /// Closes each connection after its current answer. Thread-safe.
    void beginDrain();

    /// Takes the connections that wait to be accepted and no more. Thread-safe.
    void stop();

    struct Shared;

private:
    std::shared_ptr<Shared> m_shared;
};
} // namespace Anvilcart
