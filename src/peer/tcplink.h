#pragma once

#include "peer/interfaces/peerlink.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace Anvilcart
{
/// A peer link over TCP: a listening socket, and a connection to each peer that is re-established after a failure. Messages already
/// handed to a broken connection are lost. Calls must not overlap; the receiver runs on the link's own thread.
class TcpLink : public PeerLink
{
public:
    /// Called with each received message on the link's own thread.
    using Receiver = std::function<void(std::string)>;

    /// Listens on the endpoint. Throws std::runtime_error if that fails. The receiver is called until stopReceiving() or destruction.
    /// A connection beyond maxIncoming takes the place of the oldest one on which no message has arrived, or is closed if there is none.
    TcpLink(const Endpoint &endpoint, std::size_t maxMessageBytes, std::size_t maxIncoming, Receiver receiver);
    ~TcpLink() override;

    /// Stops receiving. The receiver is not running when this returns. Must not be called from the receiver.
    void stopReceiving();

    void connect(const std::string &host, const Endpoint &endpoint) override;
    void disconnect(const std::string &host) override;
    bool send(const std::string &host, const std::string &message) override;

private:
    struct Private;
    std::unique_ptr<Private> d;
};
} // namespace Anvilcart
