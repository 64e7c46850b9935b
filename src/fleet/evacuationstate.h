#pragma once

#include "kernel/time.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>

namespace Anvilcart::Fleet
{
/// The zones that the operator evacuates, as they stood at an offset of the store.
struct EvacuationView
{
    std::uint64_t storeOffset = 0;
    std::set<std::string> zones;

    bool operator==(const EvacuationView &) const = default;
};

/// What a read of the operator's topic has shown.
struct EvacuationRead
{
    EvacuationView view;
    /// When the read was requested.
    TimePoint requestedAt;
    /// False while there are further records to be read.
    bool isCaughtUp = true;
};

/// What this host knows of the evacuations, from the store or from peers. Not thread-safe.
class EvacuationState
{
public:
    /// With a bound, nothing may start before the state is known, after a pause of the process before it is confirmed, nor by a state that
    /// neither the store nor a peer has confirmed for most of the bound, once this host has had peers. The operator's record counts without
    /// a bound too.
    explicit EvacuationState(std::optional<Duration> bound);

    /// The store has been read up to the view's offset: the view replaces what was known, also if the offset is lower, since the store may
    /// have lost its history. A read that has not caught up, or that was requested before a pause of the process and may have been answered
    /// before it, confirms nothing, and ends no evacuation.
    void onStoreView(EvacuationRead read, TimePoint now);

    /// A read of the store failed: from now on views of peers count too.
    void onStoreLost();

    /// A peer has reported its view. True if it was accepted: it is newer than the known one, and this host has no current view from the
    /// store. One that was held up on its way confirms nothing.
    bool onPeerView(const EvacuationView &view, bool wasHeldUp, TimePoint now);

    /// The process stood still, so that the state may be outdated: it must be confirmed by the store, or by a peer whose view is as new.
    /// If neither does, the state that is known counts again after a quarter of the bound.
    void onPause(TimePoint now);

    /// When this host last read the store itself; TimePoint() before. What the view lacks was not yet acknowledged then.
    TimePoint storeReadAt() const;

    /// False while nothing may be started.
    bool isKnown(TimePoint now) const;

    /// Nothing before the first view.
    const std::optional<EvacuationView> &view() const;

private:
    std::optional<Duration> m_bound;
    std::optional<EvacuationView> m_view;
    bool m_isStoreCurrent = false;
    TimePoint m_storeReadAt;
    /// TimePoint() before the first report of a peer that knows the evacuations.
    TimePoint m_peerHeardAt;
    TimePoint m_awaitsConfirmationUntil;
    TimePoint m_pausedAt;
};
} // namespace Anvilcart::Fleet
