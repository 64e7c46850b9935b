#pragma once

#include "net/httpclient.h"
#include "workload/targetcalls.h"
#include "workload/targetentry.h"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Anvilcart::Fleet
{
/// Sends requests to targets, each as a separate HTTP call, and keeps a few idle connections per target for reuse. Belongs to one
/// executor.
class TargetConnections
{
public:
    using ReplyHandler = std::function<void(const TargetReply &)>;
    using RenewalHandler = std::function<void(const RenewalReply &)>;

    explicit TargetConnections(const boost::asio::any_io_executor &executor);
    ~TargetConnections();

    /// Sends a request. The handler is called once, asynchronously. A start is not sent, and its result is ConnectionClosed, after the
    /// target has closed all connections that were open to it and until it has answered a renewal that was sent later: only the
    /// identifier of a target is named in requests, and it is the same after a restart.
    void start(const TargetEntry &target, const StartRequest &request, ReplyHandler handler);
    void stop(const TargetEntry &target, const StopRequest &request, ReplyHandler handler);
    void renew(const TargetEntry &target, const RenewalRequest &request, RenewalHandler handler);

    /// Closes the idle connections to a target.
    void closeIdleConnections(const std::string &target);

private:
    struct Private;
    std::shared_ptr<Private> d;
};
} // namespace Anvilcart::Fleet
