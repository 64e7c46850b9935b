#pragma once

#include "peer/interfaces/peerlink.h"

#include <functional>
#include <memory>
#include <string>

namespace Anvilcart
{
/// The peer link over TCP: a socket that listens, and a connection to each peer that is made anew when it fails. Messages that a broken
/// connection had taken are lost. Apart from the receiver, everything is called on one thread at a time.
class TcpLink : public PeerLink
{
public:
    /// Called with each message on the link's own thread.
    using Receiver = std::function<void(std::string)>;

    /// Listens on the door. Throws std::runtime_error when that fails. The receiver is called until the link goes.
    TcpLink(const Endpoint &door, std::size_t maxMessageBytes, Receiver receiver);
    ~TcpLink() override;

    /// Receives nothing more; the receiver is not running when this returns. Not from the receiver.
    void stopReceiving();

    void connect(const std::string &host, const Endpoint &door) override;
    void disconnect(const std::string &host) override;
    bool send(const std::string &host, const std::string &message) override;

private:
    struct Private;
    std::unique_ptr<Private> d;
};
} // namespace Anvilcart
