#include "emulator/emulatedpeerlinks.h"

#include <algorithm>
#include <utility>

namespace Anvilcart::Emulation
{
namespace
{
/// As in PeerLinks.
constexpr Milliseconds ConnectTimeout {250};
constexpr Milliseconds MinRetryDelay {20};
constexpr Milliseconds MaxRetryDelay {150};
} // namespace

EmulatedPeerLinks::EmulatedPeerLinks(HostAddress address, Environment environment)
    : m_address(std::move(address))
    , m_environment(std::move(environment))
{
}

void EmulatedPeerLinks::connect(const Endpoint &endpoint)
{
    if (m_outgoing.try_emplace(toString(endpoint), Outgoing {std::nullopt, MinRetryDelay}).second) {
        scheduleAttempt(endpoint, Duration(0));
    }
}

void EmulatedPeerLinks::disconnect(const Endpoint &endpoint)
{
    const auto link = m_outgoing.extract(toString(endpoint));
    if (!link.empty() && link.mapped().connection) {
        m_environment.connections.close(*link.mapped().connection);
    }
}

void EmulatedPeerLinks::reconnect(const Endpoint &endpoint)
{
    const auto found = m_outgoing.find(toString(endpoint));
    if (found == m_outgoing.end() || !found->second.connection) {
        return;
    }
    const auto connection = *found->second.connection;
    m_environment.connections.close(connection);
    m_environment.clock.callAfter(Duration(0), [weak = weak_from_this(), endpoint, connection] {
        if (const auto self = weak.lock()) {
            self->onLost(endpoint, connection);
        }
    });
}

bool EmulatedPeerLinks::isConnected(const Endpoint &endpoint) const
{
    const auto found = m_outgoing.find(toString(endpoint));
    return found != m_outgoing.end() && found->second.connection.has_value();
}

bool EmulatedPeerLinks::send(const Endpoint &endpoint, const std::string &bytes)
{
    const auto found = m_outgoing.find(toString(endpoint));
    return found != m_outgoing.end() && found->second.connection && m_environment.connections.send(*found->second.connection, bytes);
}

void EmulatedPeerLinks::scheduleAttempt(const Endpoint &endpoint, Duration delay)
{
    m_environment.clock.callAfter(delay, [weak = weak_from_this(), endpoint] {
        if (const auto self = weak.lock()) {
            self->m_environment.callWhenRunning([weak, endpoint] {
                if (const auto links = weak.lock()) {
                    links->attempt(endpoint);
                }
            });
        }
    });
}

void EmulatedPeerLinks::attempt(const Endpoint &endpoint)
{
    const auto found = m_outgoing.find(toString(endpoint));
    const auto peer = m_environment.findPeer(endpoint);
    if (found == m_outgoing.end() || found->second.connection || !peer) {
        return;
    }
    if (m_environment.network.isCut(m_address, peer->address) || m_environment.network.isCut(peer->address, m_address)) {
        retryLater(endpoint, ConnectTimeout);
        return;
    }
    const auto roundTrip = 2 * m_environment.network.delay(m_address.zone, peer->address.zone);
    m_environment.clock.callAfter(roundTrip, [weak = weak_from_this(), endpoint, peer = *peer, acceptor = std::weak_ptr(peer->links)] {
        if (const auto self = weak.lock()) {
            self->m_environment.callWhenRunning([weak, endpoint, peer, acceptor] {
                if (const auto links = weak.lock()) {
                    links->onConnected(endpoint, {peer.address, acceptor.lock()});
                }
            });
        }
    });
}

void EmulatedPeerLinks::onConnected(const Endpoint &endpoint, const Peer &peer)
{
    const auto found = m_outgoing.find(toString(endpoint));
    if (found == m_outgoing.end() || found->second.connection) {
        return;
    }
    const auto current = m_environment.findPeer(endpoint);
    if (!peer.links || !current || current->links != peer.links) {
        retryLater(endpoint, Duration(0));
        return;
    }
    const auto id = std::make_shared<EmulatedConnections::Id>(0);
    const std::weak_ptr recipient = peer.links;
    EmulatedConnections::Handlers handlers;
    handlers.onFrame = [recipient, id](const std::string &bytes) {
        if (const auto links = recipient.lock()) {
            links->onFrame(*id, bytes);
        }
    };
    handlers.onClosed = [recipient, id] {
        if (const auto links = recipient.lock()) {
            links->onClosed(*id);
        }
    };
    handlers.onLost = [weak = weak_from_this(), endpoint, id] {
        if (const auto links = weak.lock()) {
            links->onLost(endpoint, *id);
        }
    };
    *id = m_environment.connections.open(m_address, peer.address, std::move(handlers));
    found->second = {*id, MinRetryDelay};
}

void EmulatedPeerLinks::retryLater(const Endpoint &endpoint, Duration delay)
{
    auto &retryDelay = m_outgoing.at(toString(endpoint)).retryDelay;
    scheduleAttempt(endpoint, delay + retryDelay);
    retryDelay = std::min<Duration>(retryDelay * 2, MaxRetryDelay);
}

void EmulatedPeerLinks::onLost(const Endpoint &endpoint, EmulatedConnections::Id connection)
{
    m_environment.callWhenRunning([weak = weak_from_this(), endpoint, connection] {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        const auto found = self->m_outgoing.find(toString(endpoint));
        if (found == self->m_outgoing.end() || found->second.connection != connection) {
            return;
        }
        found->second.connection.reset();
        self->retryLater(endpoint, Duration(0));
        self->m_environment.lostHandler(endpoint);
    });
}

void EmulatedPeerLinks::onFrame(EmulatedConnections::Id connection, const std::string &bytes)
{
    m_environment.callWhenRunning([weak = weak_from_this(), connection, bytes] {
        if (const auto self = weak.lock()) {
            const auto sender = self->m_environment.receiver(bytes);
            self->m_senders[connection] = sender;
            auto &newest = self->m_newestConnections[sender.host];
            newest = std::max(newest, connection);
        }
    });
}

void EmulatedPeerLinks::onClosed(EmulatedConnections::Id connection)
{
    m_environment.callWhenRunning([weak = weak_from_this(), connection] {
        const auto self = weak.lock();
        if (!self) {
            return;
        }
        const auto sender = self->m_senders.extract(connection);
        if (sender.empty()) {
            return;
        }
        const auto newest = self->m_newestConnections.find(sender.mapped().host);
        const bool isNewest = newest != self->m_newestConnections.end() && newest->second == connection;
        if (isNewest) {
            self->m_newestConnections.erase(newest);
        }
        self->m_environment.closedHandler(sender.mapped(), isNewest);
    });
}
} // namespace Anvilcart::Emulation
