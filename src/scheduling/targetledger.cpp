#include "scheduling/targetledger.h"

#include "scheduling/heldgrants.h"

#include <algorithm>
#include <utility>

namespace Anvilcart::Fleet
{
namespace
{
/// A run past its expected end is expected to take another 1/OverrunDivisor of its expected run time.
constexpr int OverrunDivisor = 4;
/// By an older reading of its clock, a slow target could carry out a start seconds after its deadline.
constexpr Seconds LongestClockAge {10};
/// Waits for the end of all leases are this much longer than the longest one.
constexpr Milliseconds LeaseExpiryMargin {120};

TimePoint timeAfter(TimePoint grantEnd, Duration delay)
{
    return grantEnd == TimePoint::max() ? grantEnd : grantEnd + delay;
}
} // namespace

TargetLedger::TargetLedger(TargetEntry entry, std::uint64_t fencingToken, Duration maxLease)
    : m_entry(std::move(entry))
    , m_fencingToken(fencingToken)
    , m_maxLease(maxLease)
    , m_startedAtMs(m_entry.startedAtMs)
    , m_leaseBound(maxLease)
{
    leaving = m_entry.draining;
}

const TargetEntry &TargetLedger::entry() const
{
    return m_entry;
}

void TargetLedger::setEntry(const TargetEntry &entry)
{
    m_entry = entry;
    leaving = entry.draining;
    entryGone = false;
}

LedgerRun &TargetLedger::addRun(const RunName &name, const Resources &demand, TimePoint now)
{
    LedgerRun run;
    run.name = name;
    run.demand = demand;
    run.sentAt = now;
    run.progressAt = now;
    run.fencingToken = m_fencingToken;
    m_used += demand;
    return m_runs[name] = std::move(run);
}

LedgerRun *TargetLedger::find(const RunName &name)
{
    const auto found = m_runs.find(name);
    return found == m_runs.end() ? nullptr : &found->second;
}

void TargetLedger::reserveFor(const RunName &name)
{
    if (auto *run = find(name)) {
        run->alone = true;
        recomputeUsage();
    }
}

bool TargetLedger::hasRunAlone() const
{
    return m_runsAlone > 0;
}

void TargetLedger::dropRun(const RunName &name)
{
    m_runs.erase(name);
    recomputeUsage();
}

void TargetLedger::identifyRun(const RunName &name, const Resources &demand)
{
    if (auto *run = find(name)) {
        run->demand = demand;
        recomputeUsage();
    }
}

ListingChanges TargetLedger::applyListing(const TargetListing &listing, TimePoint sentAt, TimePoint now)
{
    ListingChanges changes;
    if (isOutdated(listing, sentAt)) {
        changes.outdated = true;
        return changes;
    }
    const bool isNewIncarnation = m_startedAtMs != 0 && listing.startedAtMs != 0 && listing.startedAtMs != m_startedAtMs;
    changes.restarted = isNewIncarnation || (listing.startedAtMs == 0 && listing.clockMs < m_lastListingClockMs);
    if (changes.restarted) {
        m_acknowledgedEnds = 0;
        m_reportedAcknowledgement = 0;
        clock.reset();
    }
    // Clocks may be set back, so that a later life may have an earlier start time.
    const bool isEntryUnchanged = m_entry.startedAtMs == m_entryStartAtLastListing;
    if (isNewIncarnation && m_entry.startedAtMs != listing.startedAtMs) {
        m_outdatedEntryStart = isEntryUnchanged || m_entry.startedAtMs < listing.startedAtMs ? m_entry.startedAtMs : 0;
    }
    m_entryStartAtLastListing = m_entry.startedAtMs;
    if (listing.startedAtMs != 0) {
        m_startedAtMs = listing.startedAtMs;
    }
    m_lastListingClockMs = listing.clockMs;
    m_lastListingReadAt = now;
    clock.onReading(listing.clockMs, now);

    for (const auto &row : listing.ended) {
        m_acknowledgedEnds = std::max(m_acknowledgedEnds, row.position);
        const auto found = m_runs.find(row.name);
        if (found == m_runs.end()) {
            changes.unknownEndedRuns.push_back(row);
            continue;
        }
        changes.ended.push_back({found->second, row.end, true});
        m_runs.erase(found);
    }
    std::map<RunName, int> running;
    for (const auto &row : listing.running) {
        running[row.name] = row.percent;
    }
    for (auto it = m_runs.begin(); it != m_runs.end();) {
        auto &run = it->second;
        const auto listed = running.find(run.name);
        if (listed != running.end()) {
            if (run.phase != RunPhase::Running) {
                run.phase = RunPhase::Running;
                run.confirmedAt = now;
            }
            if (listed->second != run.progressPercent) {
                run.progressPercent = listed->second;
                run.progressAt = now;
            }
            running.erase(listed);
            ++it;
        } else if (!changes.restarted && !m_needsHigherToken && hasEndedUnlisted(run, listing, sentAt)) {
            changes.ended.push_back({run, RunEnd::LeaseExpired, false});
            it = m_runs.erase(it);
        } else {
            ++it;
        }
    }
    for (const auto &[name, percent] : running) {
        LedgerRun run;
        run.name = name;
        run.phase = RunPhase::Running;
        run.fencingToken = m_fencingToken;
        run.sentAt = run.confirmedAt = run.progressAt = now;
        run.progressPercent = percent;
        m_runs[name] = run;
        changes.adopted.push_back(name);
    }
    if (changes.restarted || !changes.adopted.empty()) {
        recordLongestLease(now);
    }
    recomputeUsage();
    return changes;
}

/// True for a listing that was made before the last one. Replies on different connections may overtake each other, but a listing that was
/// requested after the last one was read is newer. The start times of two incarnations may be out of order, since clocks are set back.
bool TargetLedger::isOutdated(const TargetListing &listing, TimePoint sentAt) const
{
    if (listing.startedAtMs == 0) {
        return false;
    }
    if (listing.startedAtMs == m_startedAtMs) {
        return listing.clockMs < m_lastListingClockMs;
    }
    return listing.startedAtMs < m_startedAtMs && sentAt < m_lastListingReadAt;
}

bool TargetLedger::hasEndedUnlisted(const LedgerRun &run, const TargetListing &listing, TimePoint sentAt) const
{
    if (run.fencingToken < m_fencingToken) {
        // The target accepted the higher token before it made the listing, so the run's start can't have taken effect since.
        return true;
    }
    if (run.phase == RunPhase::Running) {
        // A listing that was requested before the run was confirmed may be older than the run.
        return sentAt > run.confirmedAt;
    }
    const bool stopped = run.stoppedAt != TimePoint() && sentAt >= run.stoppedAt;
    return run.phase == RunPhase::Unconfirmed && (stopped || (listing.clockMs > run.startDeadlineMs && sentAt > run.sentAt));
}

void TargetLedger::recordClaim(TimePoint now)
{
    ownership = Ownership::Owned;
    m_leaseBound.onClaimed(now);
}

void TargetLedger::recordRestart()
{
    ownership = Ownership::Claiming;
    m_needsHigherToken = true;
}

bool TargetLedger::needsHigherToken() const
{
    return m_needsHigherToken;
}

bool TargetLedger::haveLeasesEnded(TimePoint now) const
{
    return m_leaseBound.hasPassed(now);
}

TimePoint TargetLedger::leasesEndBy() const
{
    return m_leaseBound.endsBy();
}

std::vector<EndedLedgerRun> TargetLedger::expireRuns(TimePoint now)
{
    std::vector<EndedLedgerRun> expired;
    if (!haveLeasesEnded(now)) {
        return expired;
    }
    for (auto it = m_runs.begin(); it != m_runs.end();) {
        auto &run = it->second;
        if (run.phase != RunPhase::Running && !replaced) {
            ++it;
            continue;
        }
        // A copy of the start may be carried out when the target has restarted, beside the next run of the task.
        const bool mayStartAgain = run.unansweredStarts > 0 && !replaced;
        expired.push_back({run, RunEnd::LeaseExpired, false, mayStartAgain});
        if (mayStartAgain) {
            run.phase = RunPhase::Unconfirmed;
            ++it;
        } else {
            it = m_runs.erase(it);
        }
    }
    recomputeUsage();
    return expired;
}

void TargetLedger::recordLease(std::int64_t leaseUntilMs, TimePoint now)
{
    m_leaseBound.onRequest(Milliseconds(leaseUntilMs - clock.estimateMs(now)), clock.age(now), now);
}

void TargetLedger::recordLongestLease(TimePoint now)
{
    m_leaseBound.onLongestLease(now);
}

void TargetLedger::confirmStart(LedgerRun &run, TimePoint now)
{
    if (run.phase != RunPhase::Running) {
        run.phase = RunPhase::Running;
        run.confirmedAt = now;
        run.progressAt = now;
    }
}

void TargetLedger::recordDeadlineTaken(const LedgerRun &run, std::int64_t clockMs, TimePoint now)
{
    const Duration remaining = Milliseconds(run.startDeadlineMs - clockMs);
    m_leaseBound.onRequest(std::min(remaining, m_maxLease), Duration(0), now);
}

std::int64_t TargetLedger::leaseEndMs(Duration length, TimePoint now) const
{
    return clock.estimateMs(now) + std::chrono::duration_cast<Milliseconds>(std::min(length, m_maxLease)).count();
}

bool TargetLedger::hasCapacityFor(const Resources &demand) const
{
    return m_unidentifiedRuns == 0 && !hasRunAlone() && m_entry.capacity.hasCapacityFor(demand, m_used)
        && zoneAccess.hasShareFor(demand.milliCores, m_used.milliCores, m_entry.capacity.milliCores);
}

Resources TargetLedger::freeCapacity() const
{
    if (hasRunAlone()) {
        return {};
    }
    Resources free = m_entry.capacity;
    free -= m_used;
    return free;
}

std::optional<TimePoint> TargetLedger::capacityExpectedAt(const Resources &demand, TimePoint now) const
{
    if (m_unidentifiedRuns > 0 || !m_entry.capacity.hasCapacityFor(demand, Resources())) {
        return std::nullopt;
    }
    std::vector<std::pair<TimePoint, Resources>> ends;
    for (const auto &[name, run] : m_runs) {
        const auto expected = std::chrono::duration_cast<Duration>(run.expectedRunTime * health.slowness(now));
        // The end of an overrunning run is assumed to be a fraction of its forecast away.
        ends.emplace_back(std::max(run.sentAt + expected, now + expected / OverrunDivisor), run.alone ? m_entry.capacity : run.demand);
    }
    std::sort(ends.begin(), ends.end(), [](const auto &left, const auto &right) {
        return left.first < right.first;
    });
    auto used = hasRunAlone() ? m_entry.capacity : m_used;
    auto expectedAt = now;
    for (const auto &[end, freed] : ends) {
        if (m_entry.capacity.hasCapacityFor(demand, used)) {
            break;
        }
        used -= freed;
        expectedAt = end;
    }
    return expectedAt;
}

bool TargetLedger::hasUnidentifiedRuns() const
{
    return m_unidentifiedRuns > 0;
}

bool TargetLedger::mayExtendLeases(TimePoint now) const
{
    return std::none_of(m_runs.begin(), m_runs.end(), [now](const auto &entry) {
        return entry.second.withoutGrant || now < entry.second.mayRunElsewhereUntil;
    });
}

TimePoint TargetLedger::firstEndOfGrants() const
{
    auto first = TimePoint::max();
    for (const auto &[name, run] : m_runs) {
        first = std::min(first, run.grantEndsBy);
    }
    return first;
}

TimePoint TargetLedger::leaseLimit() const
{
    return timeAfter(firstEndOfGrants(), GrantGracePeriod);
}

bool TargetLedger::mayStartUnder(TimePoint grantEndsBy, Duration lease, TimePoint now) const
{
    const auto leaseEndsBy = LeaseBound::endOfRequest(lease, clock.age(now), now);
    const auto firstGrantEnd = std::min(grantEndsBy, firstEndOfGrants());
    const auto granted = std::min(lease, m_maxLease);
    if (granted + TargetClock::driftDuring(granted + clock.age(now)) > m_maxLease + LeaseExpiryMargin) {
        // A late start could act after waits that count the longest lease.
        return false;
    }
    return clock.isKnown() && clock.age(now) <= LongestClockAge && leaseEndsBy <= timeAfter(firstGrantEnd, LongestRunAfterGrant)
        && leasesEndBy() <= timeAfter(grantEndsBy, LongestRunAfterGrant);
}

std::size_t TargetLedger::runsOfStep(const std::string &jobId, std::uint32_t step) const
{
    return static_cast<std::size_t>(std::count_if(m_runs.begin(), m_runs.end(), [&](const auto &entry) {
        return entry.first.task.jobId == jobId && entry.first.task.step == step;
    }));
}

std::map<RunName, LedgerRun> &TargetLedger::runs()
{
    return m_runs;
}

const std::map<RunName, LedgerRun> &TargetLedger::runs() const
{
    return m_runs;
}

std::uint64_t TargetLedger::acknowledgedEnds() const
{
    return m_acknowledgedEnds;
}

bool TargetLedger::hasPendingAcknowledgement() const
{
    return m_acknowledgedEnds > m_reportedAcknowledgement;
}

void TargetLedger::onAcknowledged(std::uint64_t position)
{
    m_reportedAcknowledgement = std::max(m_reportedAcknowledgement, std::min(position, m_acknowledgedEnds));
}

std::int64_t TargetLedger::startedAtMs() const
{
    return m_startedAtMs;
}

bool TargetLedger::isEntryOfEarlierLife() const
{
    return m_outdatedEntryStart != 0 && m_entry.startedAtMs == m_outdatedEntryStart;
}

std::uint64_t TargetLedger::fencingToken() const
{
    return m_fencingToken;
}

void TargetLedger::setFencingToken(std::uint64_t token)
{
    m_needsHigherToken = m_needsHigherToken && token <= m_fencingToken;
    m_fencingToken = token;
}

void TargetLedger::recomputeUsage()
{
    m_used = Resources();
    m_unidentifiedRuns = 0;
    m_runsAlone = 0;
    for (const auto &[name, run] : m_runs) {
        m_runsAlone += run.alone ? 1 : 0;
        m_used += run.demand;
        m_unidentifiedRuns += run.demand == Resources() ? 1 : 0;
    }
}
} // namespace Anvilcart::Fleet
