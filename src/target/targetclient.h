#pragma once

#include "config/configuration.h"
#include "dispatch/interfaces/targetport.h"
#include "dispatch/taskoutcome.h"
#include "net/httpclient.h"

#include <boost/asio/io_context.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <vector>

namespace Anvilcart
{
/// Runs tasks at one target over pooled connections. All state lives on one loop.
class TargetClient : public std::enable_shared_from_this<TargetClient>
{
public:
    using OutcomeHandler = std::function<void(const TaskRef &, TaskOutcome)>;

    /// Connects from sourceAddress.
    TargetClient(boost::asio::io_context &loop, const Endpoint &endpoint, std::string sourceAddress);

    /// Runs one task; done is called once, on this client's loop. Thread-safe.
    void start(TaskStart start, OutcomeHandler done);

    /// Asks the target to stop a task, one request after the other, so that a wave of them takes one connection. Thread-safe.
    void stop(const std::string &submission, const std::string &task);

private:
    using Connection = std::unique_ptr<HttpConnection>;

    /// A pooled connection that waits for its next call.
    struct IdleConnection
    {
        Connection connection;
        TimePoint since;
    };

    boost::asio::awaitable<void> run(TaskStart start, OutcomeHandler done);
    boost::asio::awaitable<void> sendStops();
    Connection takeConnection();
    void giveBack(Connection connection);

    boost::asio::io_context &m_loop;
    Endpoint m_endpoint;
    std::string m_sourceAddress;
    std::vector<IdleConnection> m_idle;
    std::deque<std::string> m_stops;
    bool m_sendingStops = false;
};
} // namespace Anvilcart
