#pragma once

#include "kernel/time.h"
#include "model/endpoint.h"
#include "net/http.h"

#include <boost/asio/awaitable.hpp>

#include <memory>
#include <string>

namespace Anvilcart
{
/// A request to be sent.
struct HttpCall
{
    // A constructor, since GCC 12 copies a braced aggregate inside a co_await expression byte by byte.
    HttpCall(std::string callMethod, std::string callTarget, std::string callBody = {})
        : method(std::move(callMethod))
        , target(std::move(callTarget))
        , body(std::move(callBody))
    {
    }

    std::string method;
    std::string target;
    std::string body;
    std::vector<HttpHeader> headers;
};

/// How far a call came. Everything but NotSent and Answered leaves the outcome unknown.
enum class CallProgress {
    NotSent,
    Sent,
    Answered,
};

/// What came of a call. Status, body and retryAfter count only when progress is Answered.
struct HttpReply
{
    CallProgress progress = CallProgress::NotSent;
    int status = 0;
    std::string body;
    bool keepAlive = false;
    /// The call ended without an answer because its time was over, not because its connection failed.
    bool timedOut = false;
    std::string error;
};

/// One connection to a server. Lives on one loop; one call at a time.
class HttpConnection
{
public:
    /// Connects from sourceAddress (any when empty) on the first call.
    HttpConnection(const boost::asio::any_io_executor &executor, Endpoint server, std::string sourceAddress);
    ~HttpConnection();

    /// True when an earlier answer left the connection open, and the server has neither closed it nor sent anything since.
    bool isReusable() const;

    /// True while the connection is established and the server has not closed it, also during a call.
    bool isOpen() const;

    /// True when the server has closed the established connection, also if a call in progress has not ended with that yet.
    bool isClosedByServer() const;

    /// Sends the call and waits for the answer; connecting has a shorter limit of its own. After a reply that is not Answered the
    /// connection is closed. Precondition: no other call is in progress.
    boost::asio::awaitable<HttpReply> call(HttpCall call, Duration timeout);

    /// Cuts the connection; a call in progress ends with an error.
    void close();

private:
    struct Private;
    std::unique_ptr<Private> d;
};

/// Makes one call over a connection of its own.
boost::asio::awaitable<HttpReply> callOnce(Endpoint server, HttpCall call, Duration timeout, std::string sourceAddress = {});
} // namespace Anvilcart
