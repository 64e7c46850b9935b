#pragma once

#include "peer/interfaces/peerlink.h"

#include <functional>
#include <memory>
#include <string>

namespace Anvilcart
{
/// The peer link over nng and TCP: one socket that listens, one that dials for each peer.
/// Apart from the receiver, everything is called on one thread at a time.
class NngLink : public PeerLink
{
public:
    /// Called with each message on a thread of nng's.
    using Receiver = std::function<void(std::string)>;

    /// Listens on the door. Throws std::runtime_error when that fails. The receiver is called until the link goes.
    NngLink(const Endpoint &door, std::size_t maxMessageBytes, Receiver receiver);
    ~NngLink() override;

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
