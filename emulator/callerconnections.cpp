#include "emulator/callerconnections.h"

#include <algorithm>
#include <utility>

namespace Anvilcart::Emulation
{
using namespace Anvilcart::Fleet;

CallerConnections::CallerConnections(SimulatedClock &clock, const std::vector<std::unique_ptr<EmulatedHost>> &hosts)
    : m_clock(clock)
    , m_hosts(hosts)
{
}

std::shared_ptr<CallerConnection>
CallerConnections::open(std::size_t host, const std::string &jobId, Duration readDelay, std::function<void(HostNode &node)> submit)
{
    auto connection = std::make_shared<CallerConnection>();
    connection->host = host;
    connection->generation = m_hosts[host]->generation();
    connection->jobId = jobId;
    callWhenRead(connection, readDelay, [this, connection, submit = std::move(submit)](HostNode &node) {
        auto &waiting = m_waiting[{connection->host, connection->generation}][connection->jobId];
        waiting.push_back(connection);
        if (waiting.size() == 1) {
            submit(node);
        }
    });
    return connection;
}

void CallerConnections::close(const std::shared_ptr<CallerConnection> &connection, Duration readDelay)
{
    connection->isOpen = false;
    callWhenRead(connection, readDelay, [this, connection](HostNode &node) {
        auto &jobs = m_waiting[{connection->host, connection->generation}];
        const auto found = jobs.find(connection->jobId);
        if (found == jobs.end()) {
            return;
        }
        const auto removed = std::erase(found->second, connection);
        if (removed > 0 && found->second.empty()) {
            jobs.erase(found);
            node.cancel(connection->jobId, m_clock.now());
        }
    });
}

void CallerConnections::callWhenRead(const std::shared_ptr<CallerConnection> &connection,
                                     Duration delay,
                                     std::function<void(HostNode &node)> action)
{
    auto &host = *m_hosts[connection->host];
    const auto now = m_clock.now();
    connection->readableAt = std::max(connection->readableAt, now + delay);
    const auto read = [&host, generation = connection->generation, action = std::move(action)] {
        host.callWhenRead(generation, action);
    };
    if (connection->readableAt == now) {
        read();
    } else {
        m_clock.callAfter(connection->readableAt - now, read);
    }
}

std::vector<std::shared_ptr<CallerConnection>> CallerConnections::takeAnswered(std::size_t host, const std::string &jobId)
{
    const auto answered = m_waiting[{host, m_hosts[host]->generation()}].extract(jobId);
    return answered ? answered.mapped() : std::vector<std::shared_ptr<CallerConnection>>();
}

bool CallerConnections::isConnected(std::size_t host, const std::string &jobId) const
{
    const auto process = m_waiting.find({host, m_hosts[host]->generation()});
    if (process == m_waiting.end()) {
        return false;
    }
    const auto found = process->second.find(jobId);
    return found != process->second.end() && std::any_of(found->second.begin(), found->second.end(), [](const auto &connection) {
               return connection->isOpen;
           });
}
} // namespace Anvilcart::Emulation
