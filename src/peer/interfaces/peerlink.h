#pragma once

#include "model/endpoint.h"

#include <string>

namespace Anvilcart
{
/// Sends messages to the other entry hosts. A message may be lost but is never truncated. Called on the decision loop; never blocks.
class PeerLink
{
public:
    virtual ~PeerLink() = default;

    /// Maintains a connection to a host's peer endpoint. A different endpoint replaces the previous one.
    virtual void connect(const std::string &host, const Endpoint &endpoint) = 0;

    /// Closes the connection to a host.
    virtual void disconnect(const std::string &host) = 0;

    /// Sends one message. Returns false if the link did not accept it, in which case the peer does not receive it.
    virtual bool send(const std::string &host, const std::string &message) = 0;
};
} // namespace Anvilcart
