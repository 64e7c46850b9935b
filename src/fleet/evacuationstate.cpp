#include "fleet/evacuationstate.h"

#include <utility>

namespace Anvilcart::Fleet
{
namespace
{
/// The part of the bound for which a host waits for a confirmation after a pause: longer than a read of a slow store and its repetition
/// take.
constexpr int ConfirmationDivisor = 4;
} // namespace

EvacuationState::EvacuationState(std::optional<Duration> bound)
    : m_bound(bound)
{
}

void EvacuationState::onStoreView(EvacuationView view)
{
    m_view = std::move(view);
    m_isStoreCurrent = true;
    m_awaitsConfirmationUntil = TimePoint();
}

void EvacuationState::onStoreLost()
{
    m_isStoreCurrent = false;
}

bool EvacuationState::onPeerView(const EvacuationView &view)
{
    if (m_view && view.storeOffset >= m_view->storeOffset) {
        m_awaitsConfirmationUntil = TimePoint();
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
    if (m_bound) {
        m_awaitsConfirmationUntil = now + *m_bound / ConfirmationDivisor;
    }
}

bool EvacuationState::isKnown(TimePoint now) const
{
    return !m_bound || (m_view && now >= m_awaitsConfirmationUntil);
}

const std::optional<EvacuationView> &EvacuationState::view() const
{
    return m_view;
}
} // namespace Anvilcart::Fleet
