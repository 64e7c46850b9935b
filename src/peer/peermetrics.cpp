#include "peer/peermetrics.h"

namespace Anvilcart
{
namespace
{
prometheus::Counter &addCounter(prometheus::Registry &registry, const std::string &name, const std::string &help)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry).Add({});
}
} // namespace

PeerMetrics::PeerMetrics(prometheus::Registry &registry)
    : m_sentFrames(addCounter(registry, "anvilcart_peer_sent_frames_total", "Messages to other entry hosts."))
    , m_sentBytes(addCounter(registry, "anvilcart_peer_sent_bytes_total", "Bytes of messages to other entry hosts."))
    , m_sendFailures(addCounter(registry, "anvilcart_peer_send_failures_total", "Messages that the link did not take."))
    , m_members(prometheus::BuildGauge()
                    .Name("anvilcart_peer_members")
                    .Help("Entry hosts that share the slots of this availability zone.")
                    .Register(registry)
                    .Add({}))
{
    auto &received = prometheus::BuildCounter()
                         .Name("anvilcart_peer_received_total")
                         .Help("Messages from other entry hosts, by what became of them.")
                         .Register(registry);
    for (std::size_t i = 0; i < FrameStatusCount; ++i) {
        m_receivedByStatus[i] = &received.Add({{"verdict", std::string(toName(static_cast<FrameStatus>(i)))}});
    }
    auto &loans = prometheus::BuildCounter().Name("anvilcart_loans_total").Help("Loans of slots, by event.").Register(registry);
    for (std::size_t i = 0; i < LoanEventCount; ++i) {
        m_loansByEvent[i] = &loans.Add({{"event", std::string(toName(static_cast<LoanEvent>(i)))}});
    }
}

void PeerMetrics::onSent(std::size_t bytes)
{
    m_sentFrames.Increment();
    m_sentBytes.Increment(static_cast<double>(bytes));
}

void PeerMetrics::onSendFailed()
{
    m_sendFailures.Increment();
}

void PeerMetrics::onReceived(FrameStatus status)
{
    m_receivedByStatus[static_cast<std::size_t>(status)]->Increment();
}

void PeerMetrics::onLoanEvent(LoanEvent event)
{
    m_loansByEvent[static_cast<std::size_t>(event)]->Increment();
}

void PeerMetrics::onMembersChanged(std::size_t count)
{
    m_members.Set(static_cast<double>(count));
}
} // namespace Anvilcart
