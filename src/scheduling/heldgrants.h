#pragma once

#include "kernel/time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace Anvilcart::Fleet
{
/// An entry host's permission to run its jobs for a limited time. It covers every job that the host submitted under the same epoch.
struct JobGrant
{
    /// Incremented when the entry host takes its jobs back. 0 from hosts that issue no grants.
    std::uint64_t epoch = 0;
    /// On the dispatcher's clock: when the grant ends unless it is renewed.
    TimePoint until;
    /// The number of claims of targets that the dispatcher had made by its last report that reached the entry host.
    std::uint64_t confirmedClaims = 0;
    /// The incarnation of the dispatcher that the grant is meant for.
    std::uint64_t dispatcherIncarnation = 0;
};

/// A lease ends this long after the first grant of the target's runs, unless that is renewed: a renewal that is a little late does not cost
/// the work. The dispatcher stops the runs then, too.
constexpr Milliseconds GrantGracePeriod {250};
/// A run ends this long after its grant at the latest, whatever becomes of its dispatcher. Longer than the grace period by drift and
/// delays.
constexpr Milliseconds LongestRunAfterGrant {350};

/// The grants that a dispatcher holds, one for each entry host. An entry host that hears nothing from the dispatcher lets its grant end
/// before it hands its jobs to another one, so that a dispatcher whose grant has ended must start nothing. Not thread-safe.
class HeldGrants
{
public:
    enum class Change {
        /// The grant is older than the one that is held; the jobs that came with it must not be accepted.
        Outdated,
        Renewed,
        /// The same, and more may be done under it than before: it had ended, or it confirms further claims.
        Extended,
        /// The entry host has taken back all jobs of lower epochs.
        EpochRaised,
        /// The entry host has restarted; the jobs of its earlier incarnation have no caller any more.
        EntryRestarted,
    };

    /// Records a grant. A new incarnation of the entry host replaces the grants of the earlier one.
    Change onGrant(const std::string &entryHost, std::uint64_t entryIncarnation, const JobGrant &grant, TimePoint now);

    /// Ends every grant. Only grants that confirm claims beyond this number count from now on.
    void endAll(std::uint64_t claims, TimePoint now);

    /// True while jobs of this epoch may be started and their leases extended. Always true for epoch 0.
    bool isValid(const std::string &entryHost, std::uint64_t epoch, TimePoint now) const;

    /// When the grant for jobs of this epoch ends unless it is renewed: TimePoint::max() for epoch 0, TimePoint() for an epoch that is not
    /// granted.
    TimePoint endOf(const std::string &entryHost, std::uint64_t epoch) const;

    /// The number of the last claim under which the entry host's jobs may be started.
    std::uint64_t confirmedClaims(const std::string &entryHost) const;

    /// Returns the entry hosts whose grants have ended since the last call.
    std::vector<std::string> takeEnded(TimePoint now);

    /// Returns the entry hosts whose grants ended some time ago and were not renewed, once for each end.
    std::vector<std::string> takeExpired(TimePoint now);

private:
    struct Grant
    {
        JobGrant newest;
        std::uint64_t entryIncarnation = 0;
    };

    using Ends = std::set<std::pair<TimePoint, std::string>>;

    static std::vector<std::string> takeUntil(Ends &ends, TimePoint time);
    void setEnd(const std::string &entryHost, JobGrant &grant, TimePoint until);

    std::map<std::string, Grant> m_grants;
    /// The ends that takeEnded() and takeExpired() have not reported.
    Ends m_ends;
    Ends m_expiries;
    std::uint64_t m_requiredClaims = 0;
};
} // namespace Anvilcart::Fleet
