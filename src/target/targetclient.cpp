#include "target/targetclient.h"

#include "target/taskcodec.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>

namespace Anvilcart
{
namespace asio = boost::asio;

namespace
{
constexpr const char *RunPath = "/v1/tasks/run";
constexpr const char *StopPath = "/v1/tasks/stop";
constexpr Milliseconds StopTimeout {1000};
constexpr Seconds MaxIdleTime {4};

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
    asio::post(m_loop, [self = shared_from_this(), body = encodeStopRequest(submission, task)]() mutable {
        self->m_stops.push_back(std::move(body));
        if (!self->m_sendingStops) {
            self->m_sendingStops = true;
            asio::co_spawn(self->m_loop, self->sendStops(), asio::detached);
        }
    });
}

asio::awaitable<void> TargetClient::sendStops()
{
    const auto self = shared_from_this();
    while (!m_stops.empty()) {
        HttpCall call("POST", StopPath, std::move(m_stops.front()));
        m_stops.pop_front();
        auto connection = takeConnection();
        const auto reply = co_await connection->call(std::move(call), StopTimeout);
        if (reply.progress == CallProgress::Answered) {
            giveBack(std::move(connection));
        }
    }
    m_sendingStops = false;
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
        auto idle = std::move(m_idle.back());
        m_idle.pop_back();
        // A target that closes idle connections could close one just while a task is written, which leaves its outcome unknown.
        if (Clock::now() - idle.since < MaxIdleTime && idle.connection->isReusable()) {
            return std::move(idle.connection);
        }
    }
    return std::make_unique<HttpConnection>(m_loop.get_executor(), m_endpoint, m_sourceAddress);
}

void TargetClient::giveBack(Connection connection)
{
    if (connection->isReusable()) {
        m_idle.push_back({std::move(connection), Clock::now()});
    }
}
} // namespace Anvilcart
