#include "fleet/evacuationstate.h"

#include <algorithm>
#include <utility>

namespace Anvilcart::Fleet
{
namespace
{
/// The part of the bound for which a host waits for a confirmation after a pause: longer than a read of a slow store and its repetition
/// take.
constexpr int ConfirmationDivisor = 4;
/// A host that receives nothing may start tasks for this part of the bound after its last read, and after a peer's last report, which may
/// have read the store 2 s before that. A start that was sent last takes effect up to 0.45 s later.
constexpr double LastStoreReadShare = 0.75;
constexpr double LastPeerReportShare = 0.5;

Duration shareOf(Duration bound, double share)
{
    return std::chrono::duration_cast<Duration>(bound * share);
}
} // namespace

EvacuationState::EvacuationState(std::optional<Duration> bound)
    : m_bound(bound)
{
}

void EvacuationState::onStoreView(EvacuationRead read, TimePoint now)
{
    if (!read.isCaughtUp || read.requestedAt < m_pausedAt) {
        if (m_view) {
            m_view->zones.merge(read.view.zones);
            m_view->storeOffset = std::max(m_view->storeOffset, read.view.storeOffset);
        }
        return;
    }
    m_view = std::move(read.view);
    m_storeReadAt = now;
    m_isStoreCurrent = true;
    m_awaitsConfirmationUntil = TimePoint();
}

void EvacuationState::onStoreLost()
{
    m_isStoreCurrent = false;
}

bool EvacuationState::onPeerView(const EvacuationView &view, bool wasHeldUp, TimePoint now)
{
    if (!wasHeldUp) {
        m_peerHeardAt = now;
        if (m_view && view.storeOffset >= m_view->storeOffset) {
            m_awaitsConfirmationUntil = TimePoint();
        }
    }
    if (m_isStoreCurrent || (m_view && view.storeOffset <= m_view->storeOffset)) {
        return false;
    }
    m_view = view;
    return true;
}

void EvacuationState::onPause(TimePoint now)
{
    m_isStoreCurrent = false;
    m_pausedAt = now;
    if (m_bound) {
        m_awaitsConfirmationUntil = now + *m_bound / ConfirmationDivisor;
    }
}

bool EvacuationState::isKnown(TimePoint now) const
{
    if (!m_bound) {
        return true;
    }
    const bool hasHadPeers = m_peerHeardAt != TimePoint();
    const auto relyUntil =
        std::max(m_storeReadAt + shareOf(*m_bound, LastStoreReadShare), m_peerHeardAt + shareOf(*m_bound, LastPeerReportShare));
    return m_view && now >= m_awaitsConfirmationUntil && (!hasHadPeers || now < relyUntil);
}

TimePoint EvacuationState::storeReadAt() const
{
    return m_storeReadAt;
}

const std::optional<EvacuationView> &EvacuationState::view() const
{
    return m_view;
}
} // namespace Anvilcart::Fleet
