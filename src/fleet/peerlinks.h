#pragma once

#include "kernel/time.h"
#include "model/endpoint.h"

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Anvilcart::Fleet
{
/// The sender of the messages on a connection, as decoded by the receiver.
struct LinkSender
{
    std::string host;
    std::uint64_t incarnation = 0;
};

/// Bounds of what other processes may occupy here. Connections on which no message has arrived make room first.
struct PeerLinkLimits
{
    std::size_t incomingConnections = 1024;
    /// Incomplete messages of all connections together; at least twice the longest message.
    std::size_t bufferedBytes = 32 * 1024 * 1024;
};

/// Exchanges messages between hosts over TCP. Each host sends on the connections that it opened and receives on those that it
/// accepted, so that the two directions fail independently. All calls and callbacks run on one executor.
class PeerLinks
{
public:
    /// Handles a message and returns its sender.
    using Receiver = std::function<LinkSender(std::string_view bytes)>;
    /// Called when a connection from this sender has closed. isNewest is false when the sender has opened another one since.
    using ClosedHandler = std::function<void(const LinkSender &, bool isNewest)>;
    /// Called when an open connection to this endpoint has closed. Messages that were sent over it may be lost.
    using LostHandler = std::function<void(const Endpoint &)>;

    /// Starts to listen; throws boost::system::system_error when the endpoint cannot be bound.
    PeerLinks(const boost::asio::any_io_executor &executor,
              const Endpoint &endpoint,
              Receiver receiver,
              ClosedHandler closedHandler,
              LostHandler lostHandler,
              const PeerLinkLimits &limits = PeerLinkLimits());
    ~PeerLinks();

    /// Opens a connection to an endpoint, and reopens it whenever it fails. If it waits for its next attempt, that is made at once.
    void connect(const Endpoint &endpoint);

    /// Closes the connection to an endpoint for good.
    void disconnect(const Endpoint &endpoint);

    /// Closes the connection and opens a new one. For a connection on which the peer receives nothing.
    void reconnect(const Endpoint &endpoint);

    /// True while the connection to the endpoint is open. Call on the executor.
    bool isConnected(const Endpoint &endpoint) const;

    /// True when the last attempt to connect was refused by the endpoint's machine. Call on the executor.
    bool isRefused(const Endpoint &endpoint) const;

    /// Queues a message. False when there is no connection or the queue is full; the message is then dropped.
    bool send(const Endpoint &endpoint, const std::string &bytes);

    /// Connections that were closed to make room, since the start. Call on the executor.
    std::uint64_t replacedConnections() const;

    /// Closes every connection. Queued messages are written first, within a short time limit.
    void stop();

private:
    struct Private;
    std::shared_ptr<Private> d;
};
} // namespace Anvilcart::Fleet
