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
/// Kept connections to targets, a few each; every order is a call of its own. Belongs to one executor.
class TargetConnections
{
public:
    using OrderHandler = std::function<void(const TargetReply &)>;
    using RenewalHandler = std::function<void(const RenewalReply &)>;

    explicit TargetConnections(const boost::asio::any_io_executor &executor);
    ~TargetConnections();

    /// Sends an order; the handler is called once, later.
    void start(const TargetEntry &target, const StartRequest &order, OrderHandler handler);
    void stop(const TargetEntry &target, const StopRequest &order, OrderHandler handler);
    void renew(const TargetEntry &target, const RenewalRequest &order, RenewalHandler handler);

    /// Closes the connections that are kept to a target.
    void forget(const std::string &target);

private:
    struct Private;
    std::shared_ptr<Private> d;
};
} // namespace Anvilcart::Fleet
