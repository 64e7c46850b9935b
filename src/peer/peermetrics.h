#pragma once

#include "peer/interfaces/peerobserver.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/registry.h>

#include <array>

namespace Anvilcart
{
/// Counts what passes between entry hosts.
class PeerMetrics : public PeerObserver
{
public:
    /// The registry outlives the metrics.
    explicit PeerMetrics(prometheus::Registry &registry);

    void onSent(std::size_t bytes) override;
    void onSendFailed() override;
    void onReceived(FrameVerdict verdict) override;
    void onLoan(LoanEvent event) override;
    void onMembers(std::size_t count) override;

private:
    std::array<prometheus::Counter *, FrameVerdictCount> m_byVerdict {};
    std::array<prometheus::Counter *, LoanEventCount> m_byLoanEvent {};
    prometheus::Counter &m_sentFrames;
    prometheus::Counter &m_sentBytes;
    prometheus::Counter &m_sendFailures;
    prometheus::Gauge &m_members;
};
} // namespace Anvilcart
