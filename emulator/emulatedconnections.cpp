#include "emulator/emulatedconnections.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace Anvilcart::Emulation
{
namespace
{
constexpr Milliseconds MinRetransmissionGap {200};
constexpr Milliseconds MaxRetransmissionGap {3200};
/// As in PeerLinks.
constexpr Milliseconds UnacknowledgedTimeout {700};
} // namespace

EmulatedConnections::EmulatedConnections(SimulatedClock &clock, const EmulatedNetwork &network, std::uint64_t seed)
    : m_clock(clock)
    , m_network(network)
    , m_random(seed)
{
}

EmulatedConnections::Id EmulatedConnections::open(const HostAddress &from, const HostAddress &to, Handlers handlers)
{
    auto &connection = m_connections[++m_lastId];
    connection.from = from;
    connection.to = to;
    connection.handlers = std::move(handlers);
    return m_lastId;
}

bool EmulatedConnections::send(Id connection, const std::string &bytes)
{
    const auto found = m_connections.find(connection);
    if (found == m_connections.end() || !found->second.isOpen) {
        return false;
    }
    transmit(connection, found->second.nextSent++, bytes);
    return true;
}

void EmulatedConnections::close(Id connection)
{
    const auto found = m_connections.find(connection);
    if (found == m_connections.end() || !found->second.isOpen) {
        return;
    }
    found->second.isOpen = false;
    transmit(connection, found->second.nextSent++, std::nullopt);
}

void EmulatedConnections::onProcessEnded(const std::string &host)
{
    for (auto &[id, connection] : m_connections) {
        if (connection.from.name == host) {
            close(id);
        }
        if (connection.to.name == host) {
            connection.hasRecipientEnded = true;
        }
    }
}

void EmulatedConnections::reset(const std::function<bool(const HostAddress &from, const HostAddress &to)> &matches)
{
    std::vector<Connection> ended;
    for (auto it = m_connections.begin(); it != m_connections.end();) {
        if (matches(it->second.from, it->second.to)) {
            ended.push_back(std::move(it->second));
            it = m_connections.erase(it);
        } else {
            ++it;
        }
    }
    for (const auto &connection : ended) {
        if (connection.isOpen) {
            connection.handlers.onLost();
        }
        if (!connection.hasRecipientEnded) {
            connection.handlers.onClosed();
        }
    }
}

void EmulatedConnections::transmit(Id id, std::uint64_t number, Frame frame)
{
    const auto &connection = m_connections.at(id);
    if (!connection.held.empty() || m_network.isCut(connection.from, connection.to)) {
        hold(id, number, std::move(frame));
        return;
    }
    m_clock.callAfter(m_network.delay(connection.from.zone, connection.to.zone), [this, id, number, frame = std::move(frame)] {
        onArrival(id, number, frame);
    });
}

void EmulatedConnections::onArrival(Id id, std::uint64_t number, Frame frame)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end()) {
        return;
    }
    auto &connection = found->second;
    const bool isRefusalCut = connection.hasRecipientEnded && m_network.isCut(connection.to, connection.from);
    if (number != connection.nextDelivered || isRefusalCut || m_network.isCut(connection.from, connection.to)) {
        hold(id, number, std::move(frame));
        return;
    }
    if (connection.hasRecipientEnded) {
        const auto ended = std::move(connection);
        m_connections.erase(found);
        if (ended.isOpen) {
            m_clock.callAfter(m_network.delay(ended.to.zone, ended.from.zone), ended.handlers.onLost);
        }
        return;
    }
    ++connection.nextDelivered;
    deliver(id, frame);
}

void EmulatedConnections::deliver(Id id, const Frame &frame)
{
    // The handlers may open, close and reset connections.
    const auto handlers = m_connections.at(id).handlers;
    if (frame) {
        handlers.onFrame(*frame);
    } else {
        m_connections.erase(id);
        handlers.onClosed();
    }
}

void EmulatedConnections::hold(Id id, std::uint64_t number, Frame frame)
{
    auto &connection = m_connections.at(id);
    const bool isFirst = connection.held.empty();
    connection.held.emplace(number, std::move(frame));
    if (!isFirst) {
        return;
    }
    connection.retransmissionGap = MinRetransmissionGap;
    ++connection.holdCount;
    scheduleRetransmission(id);
    m_clock.callAfter(UnacknowledgedTimeout, [this, id, holdCount = connection.holdCount] {
        giveUp(id, holdCount);
    });
}

void EmulatedConnections::scheduleRetransmission(Id id)
{
    const auto &connection = m_connections.at(id);
    m_clock.callAfter(connection.retransmissionGap, [this, id, holdCount = connection.holdCount] {
        retransmit(id, holdCount);
    });
}

void EmulatedConnections::retransmit(Id id, std::uint64_t holdCount)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end() || found->second.holdCount != holdCount) {
        return;
    }
    auto &connection = found->second;
    if (m_network.isCut(connection.from, connection.to)) {
        connection.retransmissionGap = std::min<Duration>(connection.retransmissionGap * 2, MaxRetransmissionGap);
        scheduleRetransmission(id);
        return;
    }
    for (auto &[number, frame] : std::exchange(connection.held, {})) {
        transmit(id, number, frame);
    }
}

void EmulatedConnections::giveUp(Id id, std::uint64_t holdCount)
{
    const auto found = m_connections.find(id);
    if (found == m_connections.end() || found->second.holdCount != holdCount) {
        return;
    }
    auto &connection = found->second;
    if (!connection.isOpen || connection.held.empty()) {
        return;
    }
    connection.isOpen = false;
    const bool losesHeldFrames = m_random() % 2 == 0;
    if (losesHeldFrames) {
        connection.held.clear();
        connection.nextDelivered = connection.nextSent;
    }
    connection.held.emplace(connection.nextSent++, std::nullopt);
    const auto onLost = connection.handlers.onLost;
    onLost();
}
} // namespace Anvilcart::Emulation
