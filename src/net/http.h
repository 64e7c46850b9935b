#pragma once

#include <boost/asio/awaitable.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace Anvilcart
{
/// A header line of a request or an answer.
struct HttpHeader
{
    std::string name;
    std::string value;
};

/// A request as it came in, whole.
struct HttpRequest
{
    std::string method;
    std::string path;
    std::string query;
    std::string body;
    std::string remoteAddress;
    std::vector<HttpHeader> headers;

    /// The value of the first header with this name, in any case of letters; empty when there is none.
    std::string header(std::string_view name) const;
};

/// An answer to be written.
struct HttpResponse
{
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
    std::vector<HttpHeader> headers;
    /// Cuts the connection without an answer; stand-ins use it to inject faults.
    bool abort = false;
};

/// Tells a handler that its caller has gone. Used on the connection's own loop only.
class HttpPeer
{
public:
    virtual ~HttpPeer() = default;

    /// Calls action once if the caller closes the connection before the answer is written.
    virtual void onDisconnect(std::function<void()> action) = 0;

    /// Looks at the connection: false if the caller has closed it, even if that is not reported yet.
    virtual bool isConnected() = 0;
};

using HttpHandler = std::function<boost::asio::awaitable<HttpResponse>(HttpRequest, HttpPeer &)>;
} // namespace Anvilcart
