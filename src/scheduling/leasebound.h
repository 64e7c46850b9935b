#pragma once

#include "kernel/time.h"

namespace Anvilcart::Fleet
{
/// The time on this host's steady clock by which every lease on one target has ended, whoever granted it. A target has one deadline for all
/// that runs there; it is never shortened, and applies to a new run too. Not thread-safe.
class LeaseBound
{
public:
    /// maxLease is the longest lease that the target grants, on its own clock.
    explicit LeaseBound(Duration maxLease);

    /// Records that the target has accepted a claim of this host, in a listing that was read at that time. Requests of earlier owners have
    /// no effect from then on, but what they granted before lasts for up to the longest lease.
    void onClaimed(TimePoint readAt);

    /// Records a listing, read at that time, which shows that runs may hold the longest lease though this host has not granted it: of a
    /// target that has restarted, which refuses earlier owners too from then on, or with runs that other hosts have started.
    void onLongestLease(TimePoint readAt);

    /// The time by which a lease of this length has ended, if it is requested now. The target's clock was last read clockAge before.
    static TimePoint endOfRequest(Duration length, Duration clockAge, TimePoint now);

    /// Records a request of this host that extends leases by this length. The target's clock was last read clockAge before.
    void onRequest(Duration length, Duration clockAge, TimePoint sentAt);

    /// False before the first of these answers: until then earlier owners may extend leases.
    bool hasPassed(TimePoint now) const;

    /// The time, as far as it is known; before the first of these answers leases may end later.
    TimePoint endsBy() const;

private:
    Duration m_maxLease;
    bool m_isKnown = false;
    TimePoint m_time;
};
} // namespace Anvilcart::Fleet
