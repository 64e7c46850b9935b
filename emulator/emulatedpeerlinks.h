#pragma once

#include "emulator/emulatedconnections.h"
#include "fleet/peerlinks.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Anvilcart::Emulation
{
/// Replaces the PeerLinks of a host process: opens connections to endpoints and opens them again, and reports the ends of connections. Not
/// thread-safe.
class EmulatedPeerLinks : public std::enable_shared_from_this<EmulatedPeerLinks>
{
public:
    struct Peer
    {
        HostAddress address;
        /// Null while no process of the host runs.
        std::shared_ptr<EmulatedPeerLinks> links;
    };

    /// All that the links depend on; the references must outlive them.
    struct Environment
    {
        SimulatedClock &clock;
        const EmulatedNetwork &network;
        EmulatedConnections &connections;
        std::function<std::optional<Peer>(const Endpoint &endpoint)> findPeer;
        /// Calls action unless the process has ended; while the process is paused, after it resumes.
        std::function<void(std::function<void()> action)> callWhenRunning;
        Fleet::PeerLinks::Receiver receiver;
        Fleet::PeerLinks::ClosedHandler closedHandler;
        Fleet::PeerLinks::LostHandler lostHandler;
    };

    EmulatedPeerLinks(HostAddress address, Environment environment);

    /// See PeerLinks.
    void connect(const Endpoint &endpoint);
    void disconnect(const Endpoint &endpoint);
    void reconnect(const Endpoint &endpoint);
    bool isConnected(const Endpoint &endpoint) const;
    bool send(const Endpoint &endpoint, const std::string &bytes);

private:
    struct Outgoing
    {
        std::optional<EmulatedConnections::Id> connection;
        Duration retryDelay {0};
    };

    void scheduleAttempt(const Endpoint &endpoint, Duration delay);
    void attempt(const Endpoint &endpoint);
    void onConnected(const Endpoint &endpoint, const Peer &peer);
    void retryLater(const Endpoint &endpoint, Duration delay);
    void onLost(const Endpoint &endpoint, EmulatedConnections::Id connection);
    void onFrame(EmulatedConnections::Id connection, const std::string &bytes);
    void onClosed(EmulatedConnections::Id connection);

    HostAddress m_address;
    Environment m_environment;
    std::map<std::string, Outgoing> m_outgoing;
    std::map<EmulatedConnections::Id, Fleet::LinkSender> m_senders;
    /// The connection that each host opened last, of those on which data have arrived.
    std::map<std::string, EmulatedConnections::Id> m_newestConnections;
};
} // namespace Anvilcart::Emulation
