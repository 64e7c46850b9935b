#pragma once

#include "peer/interfaces/peerobserver.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <array>

namespace Anvilcart
{
/// Exports metrics of the traffic and the loans between entry hosts.
class PeerMetrics : public PeerObserver
{
public:
    /// The registry must outlive this object.
    explicit PeerMetrics(prometheus::Registry &registry);

    void onSent(std::size_t bytes) override;
    void onSendFailed() override;
    void onReceived(FrameStatus status) override;
    void onLoanEvent(LoanEvent event) override;
    void onMembersChanged(std::size_t count) override;

private:
    std::array<prometheus::Counter *, FrameStatusCount> m_receivedByStatus {};
    std::array<prometheus::Counter *, LoanEventCount> m_loansByEvent {};
    prometheus::Counter &m_sentFrames;
    prometheus::Counter &m_sentBytes;
    prometheus::Counter &m_sendFailures;
    prometheus::Gauge &m_members;
};
} // namespace Anvilcart
