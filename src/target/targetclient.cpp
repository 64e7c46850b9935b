#include "target/targetclient.h"

#include "target/taskcodec.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace Anvilcart
{
namespace asio = boost::asio;

namespace
{
constexpr const char *RunPath = "/v1/tasks/run";
constexpr const char *StopPath = "/v1/tasks/stop";
constexpr Milliseconds StopTimeout {1000};

/// True where the answer leaves no doubt about what the connection carries next.
bool isInOrder(const TaskOutcome &outcome)
{
    return !std::holds_alternative<TaskLost>(outcome);
}
} // namespace

TargetClient::TargetClient(asio::io_context &loop, const Endpoint &endpoint, std::string sourceAddress)
    : m_loop(loop)
    , m_endpoint(endpoint)
    , m_sourceAddress(std::move(sourceAddress))
{
}

void TargetClient::start(TaskStart start, OutcomeHandler done)
{
    asio::co_spawn(
        m_loop,
        [self = shared_from_this(), start = std::move(start), done = std::move(done)]() mutable {
            return self->run(std::move(start), std::move(done));
        },
        asio::detached);
}

void TargetClient::stop(const std::string &submission, const std::string &task)
{
    HttpCall call {"POST", StopPath, encodeStopRequest(submission, task)};
    asio::co_spawn(m_loop, callOnce(m_endpoint, std::move(call), StopTimeout, m_sourceAddress), asio::detached);
}

asio::awaitable<void> TargetClient::run(TaskStart start, OutcomeHandler done)
{
    const auto self = shared_from_this();
    // The last look at the time before a byte is written: this process may have been paused since the decision.
    if (Clock::now() >= start.startBefore) {
        done(start.ref, TaskNotStarted {NotStartedReason::ClaimExpired});
        co_return;
    }
    auto connection = takeConnection();
    HttpCall call {"POST", RunPath, encodeRunRequest(start)};
    auto reply = co_await connection->call(std::move(call), start.timeout);
    auto outcome = decodeOutcome(start, reply);
    if (isInOrder(outcome)) {
        giveBack(std::move(connection));
    }
    done(start.ref, std::move(outcome));
}

TargetClient::Connection TargetClient::takeConnection()
{
    while (!m_idle.empty()) {
        auto connection = std::move(m_idle.back());
        m_idle.pop_back();
        if (connection->isReusable()) {
            return connection;
        }
    }
    return std::make_unique<HttpConnection>(m_loop.get_executor(), m_endpoint, m_sourceAddress);
}

void TargetClient::giveBack(Connection connection)
{
    if (connection->isReusable()) {
        m_idle.push_back(std::move(connection));
    }
}
} // namespace Anvilcart
