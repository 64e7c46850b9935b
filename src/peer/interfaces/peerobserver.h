#pragma once

#include "peer/framestatus.h"
#include "peer/loanevent.h"

#include <cstddef>

namespace Anvilcart
{
/// Receives events of the traffic between entry hosts, for metrics. Called on the decision loop.
class PeerObserver
{
public:
    virtual ~PeerObserver() = default;

    /// The link accepted a message of this size in bytes.
    virtual void onSent(std::size_t bytes) = 0;

    /// The link did not accept a message, or the message was too large to send.
    virtual void onSendFailed() = 0;

    /// A message was received and checked.
    virtual void onReceived(FrameStatus status) = 0;

    /// The state of a loan changed.
    virtual void onLoanEvent(LoanEvent event) = 0;

    /// The number of entry hosts that share the slots of this availability zone changed. It includes this host.
    virtual void onMembersChanged(std::size_t count) = 0;
};
} // namespace Anvilcart
