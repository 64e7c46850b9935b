#pragma once

#include "peer/frameverdict.h"
#include "peer/loanevent.h"

#include <cstddef>

namespace Anvilcart
{
/// Sees what passes between entry hosts, for metrics. Called on the decision loop.
class PeerObserver
{
public:
    virtual ~PeerObserver() = default;

    /// A message of so many bytes was handed over to the link.
    virtual void onSent(std::size_t bytes) = 0;

    /// A message was not handed over.
    virtual void onSendFailed() = 0;

    /// A message came in and was judged.
    virtual void onReceived(FrameVerdict verdict) = 0;

    /// Something happened to a loan.
    virtual void onLoan(LoanEvent event) = 0;

    /// The entry hosts of this availability zone that share its slots, this one included.
    virtual void onMembers(std::size_t count) = 0;
};
} // namespace Anvilcart
