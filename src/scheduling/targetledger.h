#pragma once

#include "scheduling/leasebound.h"
#include "scheduling/targetclock.h"
#include "scheduling/targethealthrecord.h"
#include "scheduling/zoneevacuation.h"
#include "workload/targetcalls.h"
#include "workload/targetentry.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace Anvilcart::Fleet
{
/// What is known about a run.
enum class RunPhase {
    /// The start was sent; no reply yet.
    Sent,
    /// The start was not answered: it may have taken effect, or may still do so until its deadline.
    Unconfirmed,
    /// The target reported that it runs.
    Running,
};

/// Returns the name used in logs. Thread-safe.
constexpr const char *toName(RunPhase phase)
{
    constexpr const char *Names[] = {"sent", "unconfirmed", "running"};
    return Names[static_cast<std::size_t>(phase)];
}

/// A run that uses, or may use, capacity of a target.
struct LedgerRun
{
    RunName name;
    /// The route of its job, which tells it from the jobs of other routes with that id; nothing while it is not known whose run it is.
    std::optional<std::string> route;
    Resources demand;
    RunPhase phase = RunPhase::Sent;
    TimePoint sentAt;
    /// When the target first reported that it runs.
    TimePoint confirmedAt;
    /// On the target's clock, in milliseconds: the start has no effect after this time, unless the target restarts.
    std::int64_t startDeadlineMs = 0;
    /// The fencing token of its start or, if it was found on the target, of that listing.
    std::uint64_t fencingToken = 0;
    /// The expected run time on a target of ordinary speed, in this place.
    Duration expectedRunTime {0};
    /// How many times as long as in a near place that is.
    double farFactor = 1;
    /// It is unknown for how much of its time it ran in a near place, so that its run time is no measure of anything.
    bool isPartlyFar = false;
    /// The caller's estimate, recorded by RunTimeModel when the run succeeds.
    Duration estimate {0};
    /// No other run may be started beside it.
    bool alone = false;
    /// Its job's grant has ended, or does not cover the claim of the target: its lease must not be extended.
    bool withoutGrant = false;
    /// When the grant of its job ended or will end, as it was last looked up; TimePoint::max() for a job that needs none.
    TimePoint grantEndsBy = TimePoint::max();
    /// Until then another dispatcher may start the task elsewhere when the lease that it granted has ended: the lease must not be extended.
    TimePoint mayRunElsewhereUntil;
    /// The run is no longer needed and is being stopped.
    bool stopRequested = false;
    bool stopInFlight = false;
    /// How many unanswered requests for its start, and for its stop since the last pause, were repeated.
    std::uint32_t startRepetitions = 0;
    std::uint32_t stopRepetitions = 0;
    /// A request for its start is in flight.
    bool startInFlight = true;
    /// Requests for its start that were sent and not answered. Each may still be carried out, also by a later incarnation of the target.
    std::uint32_t unansweredStarts = 0;
    TimePoint stopSentAt;
    /// When the target accepted a stop; TimePoint() before.
    TimePoint stoppedAt;
    int progressPercent = 0;
    TimePoint progressAt;
};

/// Whether this host may start work on a target.
enum class Ownership {
    /// Not yet listed under this host's fencing token.
    Claiming,
    Owned,
    /// No new jobs are started; the target is released once it is idle.
    Retiring,
};

/// A run that has ended, and how.
struct EndedLedgerRun
{
    LedgerRun run;
    RunEnd end = RunEnd::LeaseExpired;
    /// False where the end is inferred, not listed.
    bool listed = false;
    /// An unanswered copy of its start may still be carried out, so that the run stays in the ledger.
    bool mayStartAgain = false;
};

/// What a listing changed.
struct ListingChanges
{
    std::vector<EndedLedgerRun> ended;
    /// Ended runs that are not in the ledger.
    std::vector<EndedRun> unknownEndedRuns;
    /// Runs that this ledger did not start.
    std::vector<RunName> adopted;
    /// The target has restarted since the last listing. Runs that it does not list stay in the ledger until it has accepted a higher
    /// fencing token: a start may have reached it after it made the listing, and one that was sent before the restart may still do so.
    bool restarted = false;
    /// The listing is older than the last one, so that nothing was applied.
    bool outdated = false;
};

/// Accounts for the capacity of one target: the runs that use it or may use it, and when their leases end. A run's capacity becomes free
/// only when the target has listed its end, or when it can no longer exist. Not thread-safe.
class TargetLedger
{
public:
    TargetLedger(TargetEntry entry, std::uint64_t fencingToken, Duration maxLease);

    const TargetEntry &entry() const;

    /// Replaces the entry that the target registered.
    void setEntry(const TargetEntry &entry);

    /// Reserves capacity for a run whose start is sent now. Precondition: hasCapacityFor(demand).
    LedgerRun &addRun(const RunName &name, const Resources &demand, TimePoint now);

    /// The run with this name, or null.
    LedgerRun *find(const RunName &name);

    /// Gives the run the whole target: it counts as full until the run has ended.
    void reserveFor(const RunName &name);

    /// True while a run has the whole target.
    bool hasRunAlone() const;

    /// Frees the capacity of a run whose start had no effect and can have none any more.
    void dropRun(const RunName &name);

    /// Sets the demand of a run that was found on the target, once it is known.
    void identifyRun(const RunName &name, const Resources &demand);

    /// Applies a listing that was requested at sentAt.
    ListingChanges applyListing(const TargetListing &listing, TimePoint sentAt, TimePoint now);

    /// Records that the target was listed under this host's claim, in a reply that was read now: the target is owned.
    void recordClaim(TimePoint now);

    /// Records that the target has restarted: it must be claimed again, under a higher token than the present one.
    void recordRestart();

    /// True from recordRestart() until the token is replaced. A listing under the present token is no claim of the new life, since orders
    /// of the earlier one under that token would still be carried out after it.
    bool needsHigherToken() const;

    /// True once every lease on the target has certainly ended, whoever granted it.
    bool haveLeasesEnded(TimePoint now) const;

    /// When that is.
    TimePoint leasesEndBy() const;

    /// Removes and returns the runs that have ended with their leases; before haveLeasesEnded(), returns nothing. Call only while the
    /// target is unresponsive. A run with an unanswered request for its start remains, since the target may have restarted unnoticed and
    /// may still receive that request, unless another incarnation has replaced it; if it had been confirmed it is returned all the same,
    /// once, with mayStartAgain.
    std::vector<EndedLedgerRun> expireRuns(TimePoint now);

    /// Records a request that extends leases until that reading of the target's clock.
    void recordLease(std::int64_t leaseUntilMs, TimePoint now);

    /// Records that runs may hold the longest lease from now on: a target that has restarted cuts a deadline on its earlier clock to that,
    /// and another host may just have granted it.
    void recordLongestLease(TimePoint now);

    /// Records that the target accepted the run's start.
    void confirmStart(LedgerRun &run, TimePoint now);

    /// Records that the target has taken the deadline of the run's start, in a reply with this reading of its clock. After a restart the
    /// deadline is far ahead of that, and was cut to the longest lease.
    void recordDeadlineTaken(const LedgerRun &run, std::int64_t clockMs, TimePoint now);

    /// The reading of the target's clock at which a lease granted now should end.
    std::int64_t leaseEndMs(Duration length, TimePoint now) const;

    bool hasCapacityFor(const Resources &demand) const;

    /// Capacity that is neither used nor reserved; negative while the runs need more than the target has now.
    Resources freeCapacity() const;

    /// When capacity for the demand is expected, from the expected ends of the target's runs. Nothing when even an empty target has too
    /// little capacity, or while it has unidentified runs.
    std::optional<TimePoint> capacityExpectedAt(const Resources &demand, TimePoint now) const;

    /// True while the demand of a run is unknown; the target then counts as full.
    bool hasUnidentifiedRuns() const;

    /// False while a run's lease must not be extended. A start would extend it too, since leases are those of the whole target.
    bool mayExtendLeases(TimePoint now) const;

    /// The time beyond which no lease may be extended, since each run must end with its grant; TimePoint::max() when there is none.
    TimePoint leaseLimit() const;

    /// True if a run that is started now with this lease, under a grant that ends then, and the runs beside it all end by
    /// LongestRunAfterGrant after their grants if no order follows. False too if the target's clock was not read for long.
    bool mayStartUnder(TimePoint grantEndsBy, Duration lease, TimePoint now) const;

    /// The number of runs of this step of a job.
    std::size_t runsOfStep(const std::string &jobId, std::uint32_t step) const;

    std::map<RunName, LedgerRun> &runs();
    const std::map<RunName, LedgerRun> &runs() const;

    /// The position of the last ended run that was read from the target's listings.
    std::uint64_t acknowledgedEnds() const;

    /// True while the target has not received the acknowledgement of an ended run.
    bool hasPendingAcknowledgement() const;

    /// Records that a renewal with this acknowledged position was answered.
    void onAcknowledged(std::uint64_t position);

    /// When the target started, by its last listing or, before the first, by its entry, in milliseconds since 1970; 0 when unknown.
    std::int64_t startedAtMs() const;

    /// True while the entry is known to be of an earlier life of the target than the last listing: capacity and labels may have changed.
    bool isEntryOfEarlierLife() const;

    std::uint64_t fencingToken() const;
    void setFencingToken(std::uint64_t token);

    TargetClock clock;
    TargetHealthRecord health;
    Ownership ownership = Ownership::Claiming;
    /// The number of the claim under whose token the target is held: claims are counted by their host.
    std::uint64_t claimNumber = 0;
    TimePoint claimedAt;
    /// When the target was listed under the claim; after a restart that of the last claim, until the next one. TimePoint() before.
    TimePoint listedAt;
    /// The target gets no new work: its entry is gone or marks it as draining, or another incarnation answers at its address.
    bool leaving = false;
    /// The entry is gone: the target is removed as soon as it holds no run.
    bool entryGone = false;
    /// Another incarnation answers at its endpoint, which refuses the starts that were sent to this one.
    bool replaced = false;
    bool unresponsive = false;
    /// A reply showed a reading of the target's clock that is far in the past: it has probably restarted.
    bool restartSuspected = false;
    bool renewalInFlight = false;
    /// The sequence number of the last renewal.
    std::uint64_t renewalSequence = 0;
    std::uint64_t renewalAcknowledgedEnds = 0;
    /// The wait time of the renewal in flight.
    std::int64_t renewalWaitMs = 0;
    TimePoint lastAnswerAt;
    /// The last answer before a restart whose losses are not reported yet; TimePoint() when there is none.
    TimePoint lastAnswerBeforeRestartAt;
    TimePoint nextProbeAt;
    /// The job for which the target is reserved until the queue is next evaluated; empty when there is none.
    std::string reservedForJob;
    /// What the evacuation of the target's zone allows; the scheduler keeps it current.
    ZoneAccess zoneAccess;
    /// The target stays slow until then, by the registration with this remaining time.
    TimePoint coldUntil;
    Duration registeredColdTime {0};
    int failedProbes = 0;
    /// Since when the target has answered probes; only used while it is being claimed.
    TimePoint probesAnsweredSince;

private:
    bool isOutdated(const TargetListing &listing, TimePoint sentAt) const;
    TimePoint firstEndOfGrants() const;
    bool hasEndedUnlisted(const LedgerRun &run, const TargetListing &listing, TimePoint sentAt) const;
    void recomputeUsage();

    TargetEntry m_entry;
    std::uint64_t m_fencingToken;
    bool m_needsHigherToken = false;
    Duration m_maxLease;
    std::map<RunName, LedgerRun> m_runs;
    Resources m_used;
    std::size_t m_unidentifiedRuns = 0;
    std::size_t m_runsAlone = 0;
    std::uint64_t m_acknowledgedEnds = 0;
    std::uint64_t m_reportedAcknowledgement = 0;
    std::int64_t m_startedAtMs = 0;
    /// The start time in the entry when the last listing was applied, and in the entry that a restart has outdated; 0 when there is none.
    std::int64_t m_entryStartAtLastListing = 0;
    std::int64_t m_outdatedEntryStart = 0;
    std::int64_t m_lastListingClockMs = 0;
    TimePoint m_lastListingReadAt;
    LeaseBound m_leaseBound;
};
} // namespace Anvilcart::Fleet
