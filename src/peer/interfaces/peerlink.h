#pragma once

#include "model/endpoint.h"

#include <string>

namespace Anvilcart
{
/// The way to the other entry hosts. Messages may be lost; they arrive whole. Called on the decision loop; never blocks.
class PeerLink
{
public:
    virtual ~PeerLink() = default;

    /// Keeps a connection to a host's peer door; another door replaces the one before.
    virtual void connect(const std::string &host, const Endpoint &door) = 0;

    /// Gives up the connection to a host.
    virtual void disconnect(const std::string &host) = 0;

    /// Sends one message. False when it was not handed over, so that the peer will not see it.
    virtual bool send(const std::string &host, const std::string &message) = 0;
};
} // namespace Anvilcart
