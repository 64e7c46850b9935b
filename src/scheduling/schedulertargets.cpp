#include "scheduling/scheduler.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

// Targets: claims, leases, listings and unresponsive targets. Their runs are in schedulerruns.cpp.
namespace Anvilcart::Fleet
{
namespace
{
/// How long a renewal's reply may wait for a run to end. This is also the interval of renewals.
constexpr Milliseconds RenewalWait {300};
/// How many renewals fit into the longest lease at least, where targets grant short ones.
constexpr int RenewalsOfLongestLease = 3;
/// Used while replies are being lost, because an ended run whose listing is lost becomes known only with the reply to the next renewal.
constexpr Milliseconds RenewalWaitAfterLostReply {60};
constexpr Seconds LostReplyPeriod {1};
/// Run times exceed their forecast by about a third.
constexpr double ExpectedEndFactor = 1.4;
/// A renewal that failed sooner than this after it was sent is not repeated immediately.
constexpr Milliseconds ImmediateFailureLimit {20};
/// The interval of renewals while a run exceeds its forecast.
constexpr Milliseconds MinRenewalWait {60};
/// The longest lease that is requested, also where targets grant longer ones: when this host ends, the runs of its own callers must end
/// before those send their jobs again.
constexpr Milliseconds LongestLease {1000};
/// A renewal is sent this long before the leases end at the latest, as long as the grants of the target's runs limit them.
constexpr Milliseconds RenewalLead {150};
/// A target is unresponsive when its last reply is older than this; until then an unanswered renewal is repeated.
constexpr Milliseconds UnresponsiveAfter {700};
/// Renewals extend leases only this long after the last reply. One that repeats an unanswered renewal does not: once it is answered, the
/// next one does, and if the target is gone, its runs can be started elsewhere sooner.
constexpr Milliseconds LeaseExtensionLimit {200};
/// The lease of a run that may crash its target, and the longest wait of its renewals: if it does, its caller should know soon.
constexpr Milliseconds SuspectLease {450};
constexpr Milliseconds SuspectRenewalWait {100};
/// The pause after an unanswered probe, doubled each time up to the maximum.
constexpr Milliseconds FirstProbePause {100};
constexpr Milliseconds MaxProbePause {1000};
/// A target that did not answer a claim must answer probes for this long before it is claimed again.
constexpr Milliseconds ProbePeriodBeforeClaim {500};
/// An idle target gets the acknowledgement of its listed ended runs after this time at the latest.
constexpr Milliseconds MaxAcknowledgementDelay {1000};
/// An unanswered start on an unresponsive target is remembered for this long, if its job has ended: callers send a job again within 14 s on
/// the sites.
constexpr Seconds UnconfirmedStartRetention {15};
/// The runs of a target that another host has taken have ended after the longest lease plus this margin, which covers clock drift.
constexpr Milliseconds LeaseExpiryMargin {120};
/// The clock of an idle target is read at this interval: a start needs a reading from which a slow clock has not drifted far.
constexpr Seconds IdleClockInterval {5};
/// Leaving targets are removed when they have not replied for this long.
constexpr Seconds RemoveUnresponsiveAfter {5};

/// True for a target that restarted while this host held it and has answered since or shortly before: a lost claim is repeated at once, as
/// a lost renewal is, since the target carries out late orders of its earlier life until then.
bool isReclaimed(const TargetLedger &target, TimePoint now)
{
    return target.listedAt != TimePoint() && !target.needsHigherToken() && now - target.lastAnswerAt < UnresponsiveAfter;
}

/// True when the next listing decides what became of an unanswered start, or whether the target has restarted.
bool isListingAwaited(const TargetLedger &target)
{
    return target.restartSuspected || std::any_of(target.runs().begin(), target.runs().end(), [](const auto &entry) {
               const auto &run = entry.second;
               return run.phase == RunPhase::Unconfirmed && !run.startInFlight && !run.stopInFlight
                   && (!run.stopRequested || run.stoppedAt != TimePoint());
           });
}
} // namespace

void Scheduler::addTarget(const TargetEntry &entry, std::uint64_t fencingToken, TimePoint now)
{
    const auto found = m_targets.find(entry.id);
    if (found != m_targets.end()) {
        auto &target = *found->second;
        if (target.ownership == Ownership::Claiming && fencingToken > target.fencingToken()) {
            target.setFencingToken(fencingToken);
            target.claimNumber = ++m_claimCount;
            target.claimedAt = now;
            for (const auto &[name, run] : target.runs()) {
                if (const auto *job = jobOf(run)) {
                    markRunsWithoutGrant(*job, now);
                }
            }
            renew(target, now);
        }
        return;
    }
    if (m_crashSuspects.hasUnexplainedLosses()) {
        recordRestartAt(entry);
    }
    auto owned = std::make_unique<TargetLedger>(entry, fencingToken, m_limits.maxLease);
    auto &target = *owned;
    target.lastAnswerAt = now;
    target.claimNumber = ++m_claimCount;
    target.claimedAt = now;
    updateZoneAccess(target, now);
    m_targets[entry.id] = std::move(owned);
    m_services[entry.service].targets.push_back(&target);
    renew(target, now);
}

/// A target that registers another id at the endpoint of an earlier one has taken its place after a crash.
void Scheduler::recordRestartAt(const TargetEntry &entry)
{
    for (const auto &[id, target] : m_targets) {
        if (id != entry.id && target->entry().endpoint == entry.endpoint && target->entry().startedAtMs < entry.startedAtMs) {
            m_crashSuspects.onTargetRestarted(id);
        }
    }
}

void Scheduler::updateTarget(const TargetEntry &entry)
{
    const auto found = m_targets.find(entry.id);
    if (found == m_targets.end()) {
        return;
    }
    auto &target = *found->second;
    if (target.entry() != entry || target.entryGone) {
        target.setEntry(entry);
    }
    // A restarted target remembers no fencing token, so that another host may have started work there.
    const bool restarted = target.startedAtMs() != 0 && entry.startedAtMs > target.startedAtMs();
    if (restarted) {
        m_crashSuspects.onTargetRestarted(entry.id);
    }
    if (restarted && target.ownership == Ownership::Owned) {
        target.recordRestart();
        m_port.onTargetRestarted(entry.id);
    }
}

void Scheduler::onEntryGone(const std::string &target)
{
    const auto found = m_targets.find(target);
    if (found != m_targets.end()) {
        found->second->leaving = true;
        found->second->entryGone = true;
    }
}

void Scheduler::retireTarget(const std::string &target)
{
    const auto found = m_targets.find(target);
    if (found == m_targets.end()) {
        return;
    }
    if (found->second->ownership != Ownership::Claiming) {
        found->second->ownership = Ownership::Retiring;
    } else if (found->second->runs().empty()) {
        eraseTarget(target);
    }
}

void Scheduler::cancelRetirement(const std::string &target)
{
    const auto found = m_targets.find(target);
    if (found != m_targets.end() && found->second->ownership == Ownership::Retiring) {
        found->second->ownership = Ownership::Owned;
    }
}

void Scheduler::loseTarget(const std::string &targetId, TimePoint now)
{
    const auto found = m_targets.find(targetId);
    if (found == m_targets.end()) {
        return;
    }
    std::vector<RunName> runs;
    for (const auto &[name, run] : found->second->runs()) {
        runs.push_back(name);
    }
    if (!runs.empty()) {
        found->second->recordLongestLease(now);
        m_lostTargets[targetId] = found->second->leasesEndBy();
    }
    eraseTarget(targetId);
    for (const auto &name : runs) {
        auto *job = findJob(name.task.jobId);
        auto *task = job == nullptr ? nullptr : job->find(name.task);
        if (task == nullptr || task->phase != TaskPhase::Assigned || task->target != targetId) {
            continue;
        }
        task->phase = TaskPhase::Waiting;
        task->target.clear();
        m_lostRunsEndBy[name.task.jobId] = now + m_limits.maxLease + LeaseExpiryMargin;
        if (job->pendingResult && job->pendingResult->reason == JobEndReason::GrantEnded) {
            // The run may go on under its target's new owner.
            job->pendingResult = {JobEnd::Abandoned, JobEndReason::TargetsLost, Duration(0), {}};
        }
        stopRunsAndEnd(*job, {JobEnd::Abandoned, JobEndReason::TargetsLost, Duration(0), {}}, now);
        endIfNoRunsLeft(name.task.jobId, now);
    }
}

void Scheduler::eraseTarget(const std::string &targetId)
{
    const auto found = m_targets.find(targetId);
    auto &targets = m_services[found->second->entry().service].targets;
    targets.erase(std::remove(targets.begin(), targets.end(), found->second.get()), targets.end());
    m_targets.erase(found);
}

bool Scheduler::ownsTarget(const std::string &target) const
{
    return m_targets.contains(target);
}

const TargetLedger *Scheduler::findListedTarget(const std::string &id) const
{
    const auto found = m_targets.find(id);
    return found != m_targets.end() && found->second->ownership != Ownership::Claiming ? found->second.get() : nullptr;
}

bool Scheduler::isListed(const std::string &target) const
{
    return findListedTarget(target) != nullptr;
}

bool Scheduler::isAnswering(const std::string &target) const
{
    const auto *listed = findListedTarget(target);
    return listed != nullptr && !listed->unresponsive;
}

std::vector<std::string> Scheduler::ownedTargets() const
{
    std::vector<std::string> ids;
    for (const auto &[id, target] : m_targets) {
        ids.push_back(id);
    }
    return ids;
}

std::size_t Scheduler::ownedTargetCount() const
{
    return m_targets.size();
}

bool Scheduler::isListedUnderClaimAfter(const std::string &target, TimePoint time) const
{
    const auto *listed = findListedTarget(target);
    return listed != nullptr && listed->claimedAt > time;
}

void Scheduler::holdStartsUntil(TimePoint time)
{
    m_startsHeldUntil = time;
}

std::uint64_t Scheduler::claimCount() const
{
    return m_claimCount;
}

std::uint64_t Scheduler::digestOf(const std::string &target)
{
    return XXH64(target.data(), target.size(), 0);
}

std::uint64_t Scheduler::ownedTargetsDigest() const
{
    std::uint64_t digest = 0;
    for (const auto &[id, target] : m_targets) {
        digest += digestOf(id);
    }
    for (const auto &[id, leasesEndBy] : m_lostTargets) {
        digest += m_targets.contains(id) ? 0 : digestOf(id);
    }
    return digest;
}

std::size_t Scheduler::runCount() const
{
    std::size_t count = 0;
    for (const auto &[id, target] : m_targets) {
        const bool unresponsive = target->unresponsive;
        count += static_cast<std::size_t>(std::count_if(target->runs().begin(), target->runs().end(), [unresponsive](const auto &entry) {
            return entry.second.phase == RunPhase::Running || !unresponsive;
        }));
    }
    return count;
}

TargetUsage Scheduler::usage(TimePoint now) const
{
    TargetUsage usage;
    for (const auto &[id, target] : m_targets) {
        ++usage.targets;
        usage.ejected += target->health.isEjected(now) ? 1 : 0;
        usage.unresponsive += target->unresponsive ? 1 : 0;
        usage.leaving += target->leaving ? 1 : 0;
        usage.evacuated += target->zoneAccess.admitsNewJobs ? 0 : 1;
        usage.runs += target->runs().size();
        usage.unidentifiedRuns += target->hasUnidentifiedRuns() ? 1 : 0;
        usage.milliCores += target->entry().capacity.milliCores;
        usage.usedMilliCores += target->entry().capacity.milliCores - target->freeCapacity().milliCores;
    }
    for (const auto &[name, service] : m_services) {
        usage.queuedJobs += service.queue.size();
    }
    return usage;
}

/// How long a renewal's reply may wait: a little beyond the next expected end of a run, since the reply that lists the end may be lost.
Duration Scheduler::renewalWait(const TargetLedger &target, TimePoint now) const
{
    const Duration longestWait = m_limits.maxLease / RenewalsOfLongestLease;
    if (target.hasRunAlone()) {
        return std::min<Duration>(SuspectRenewalWait, longestWait);
    }
    Duration next = now - m_lastLostAnswerAt < LostReplyPeriod ? RenewalWaitAfterLostReply : RenewalWait;
    next = std::min(next, longestWait);
    // Once a late grant comes back, a renewal must follow before the leases end.
    next = std::min(next, std::max(target.leaseLimit() - now - RenewalLead, Duration(MinRenewalWait)));
    for (const auto &[name, run] : target.runs()) {
        const auto expected = std::chrono::duration_cast<Duration>(run.expectedRunTime * target.health.slowness(now) * ExpectedEndFactor);
        next = std::min(next, std::max(run.sentAt + expected - now, Duration(MinRenewalWait)));
    }
    return next;
}

/// Requests a listing that is made from now on, beside a renewal that waits for the end of a run.
void Scheduler::requestListing(TargetLedger &target, TimePoint now)
{
    if (!target.renewalInFlight || (target.renewalWaitMs > 0 && isListingAwaited(target))) {
        renew(target, now);
    }
}

void Scheduler::renew(TargetLedger &target, TimePoint now)
{
    updateGrantEnds(target);
    RenewalRequest request;
    // After an unanswered claim, the target is only probed, which does not take it over. When a network partition ends, messages from the
    // hosts beyond it thus arrive before this host claims their targets. A restarted target is not taken over under the earlier token.
    const bool isProbePeriod = target.probesAnsweredSince == TimePoint() || now - target.probesAnsweredSince < ProbePeriodBeforeClaim;
    const bool isProbe = target.needsHigherToken()
        || (target.ownership == Ownership::Claiming && target.failedProbes > 0 && isProbePeriod && !isReclaimed(target, now));
    request.fencingToken = isProbe ? 0 : target.fencingToken();
    request.acknowledgedPosition = target.acknowledgedEnds();
    const bool mayWait =
        !target.runs().empty() && target.failedProbes == 0 && target.ownership != Ownership::Claiming && !isListingAwaited(target);
    request.waitMs = mayWait ? std::chrono::duration_cast<Milliseconds>(renewalWait(target, now)).count() : 0;
    // The leases of a target that does not answer are allowed to expire, so that its runs can be started elsewhere. So are those of runs
    // that another host has started, which waits for the end of its leases if it is only cut off.
    const bool answeredRecently = !target.unresponsive && now - target.lastAnswerAt < LeaseExtensionLimit;
    const bool mayExtend = !target.hasUnidentifiedRuns() && target.mayExtendLeases(now);
    const auto longest = target.hasRunAlone() ? Duration(SuspectLease) : std::min<Duration>(m_limits.maxLease, LongestLease);
    const auto lease = std::min(longest, target.leaseLimit() - now);
    if (!isProbe && target.clock.isKnown() && !target.runs().empty() && answeredRecently && mayExtend && lease > Duration(0)) {
        request.leaseUntilMs = target.leaseEndMs(lease, now);
        target.recordLease(request.leaseUntilMs, now);
    }
    request.isRepeated = !isProbe && target.ownership != Ownership::Claiming && !target.unresponsive;
    request.repetitions = static_cast<std::uint32_t>(target.failedProbes);
    request.sequence = ++m_lastRenewalSequence;
    target.renewalSequence = request.sequence;
    request.sentAt = now;
    target.renewalInFlight = true;
    target.renewalWaitMs = request.waitMs;
    target.renewalAcknowledgedEnds = request.acknowledgedPosition;
    m_port.sendRenewal(target.entry().id, request);
}

void Scheduler::onRenewalReply(const std::string &targetId, const RenewalReply &reply, TimePoint now)
{
    updateGrants(now);
    const auto found = m_targets.find(targetId);
    if (found == m_targets.end()) {
        return;
    }
    auto &target = *found->second;
    const bool isLatest = reply.sequence == target.renewalSequence;
    if (reply.fencingToken == 0 && target.ownership == Ownership::Claiming && isLatest) {
        onProbeReply(target, reply, now);
        return;
    }
    if (reply.fencingToken != target.fencingToken()) {
        if (target.ownership == Ownership::Claiming && reply.fencingToken != 0 && reply.result == RequestResult::Accepted) {
            // A restarted target may have cut the deadline of that renewal to the longest lease just before the reply.
            target.recordLongestLease(now);
        }
        return;
    }
    // Each claim of a target has a token of its own, so this reply belongs to a renewal of the present claim.
    if (!isLatest && reply.result != RequestResult::Accepted && reply.result != RequestResult::Fenced) {
        return;
    }
    target.renewalInFlight = target.renewalInFlight && !isLatest;
    if (reply.result == RequestResult::Fenced) {
        m_port.onTargetLost(targetId, target.ownership != Ownership::Claiming);
        return;
    }
    if (reply.result == RequestResult::WrongIncarnation) {
        target.leaving = true;
        target.replaced = true;
    }
    if (reply.result != RequestResult::Accepted && now - target.lastAnswerAt < UnresponsiveAfter
        && (target.ownership != Ownership::Claiming || isReclaimed(target, now))) {
        // A single lost reply is not a failure; the renewal is repeated immediately. One that keeps failing at once, as when the target
        // refuses connections, is repeated by the next tick.
        m_lastLostAnswerAt = now;
        if (target.failedProbes++ == 0 || now - reply.sentAt >= ImmediateFailureLimit) {
            renew(target, now);
        }
        return;
    }
    if (reply.result != RequestResult::Accepted) {
        if (!target.unresponsive) {
            m_observer.onTargetResponsivenessChanged(targetId, true, 0);
        }
        target.unresponsive = true;
        const auto pause = FirstProbePause * (1 << std::min(target.failedProbes, 4));
        target.nextProbeAt = now + std::min<Duration>(pause, MaxProbePause);
        ++target.failedProbes;
        return;
    }
    if (target.unresponsive) {
        m_observer.onTargetResponsivenessChanged(targetId, false, 0);
    }
    target.unresponsive = false;
    target.replaced = false;
    target.failedProbes = 0;
    target.restartSuspected = false;
    const auto previousAnswerAt = std::exchange(target.lastAnswerAt, now);
    if (isLatest) {
        target.onAcknowledged(target.renewalAcknowledgedEnds);
    }
    if (target.ownership == Ownership::Claiming) {
        recordListedRuns(reply.listing, now);
    }
    const auto changes = target.applyListing(reply.listing, reply.sentAt, now);
    if (changes.outdated) {
        if (!target.renewalInFlight) {
            renew(target, now);
        }
        return;
    }
    const bool isClaimed = target.ownership == Ownership::Claiming && !changes.restarted && !target.needsHigherToken();
    if (changes.restarted) {
        target.recordRestart();
        if (target.lastAnswerBeforeRestartAt == TimePoint()) {
            target.lastAnswerBeforeRestartAt = previousAnswerAt;
        }
        m_crashSuspects.onTargetRestarted(targetId);
        m_port.onTargetRestarted(targetId);
    } else if (isClaimed) {
        target.recordClaim(now);
        m_observer.onTargetClaimed(targetId, target.fencingToken(), changes.adopted.size());
    }
    const auto service = target.entry().service;
    for (const auto &run : changes.adopted) {
        onRunFound(target, run, now);
    }
    if (!target.needsHigherToken()) {
        stopUnconfirmedStarts(target, now);
    }
    if (isClaimed) {
        // Only a target that has restarted is claimed while it has runs in the ledger.
        const auto lastAnswerAt = std::exchange(target.lastAnswerBeforeRestartAt, TimePoint());
        onRunsLost(target, LossEvidence::Restarted, lastAnswerAt == TimePoint() ? previousAnswerAt : lastAnswerAt, changes.ended, now);
        target.listedAt = now;
    }
    for (const auto &ended : changes.ended) {
        onRunEnded(target, ended, now);
    }
    schedule(service, now);
    if (!m_targets.contains(targetId)) {
        return;
    }
    if (!target.renewalInFlight && !target.runs().empty() && !target.needsHigherToken()) {
        renew(target, now);
    }
}

/// Records the jobs that had runs on a target that is being claimed.
void Scheduler::recordListedRuns(const TargetListing &listing, TimePoint now)
{
    for (const auto &run : listing.running) {
        m_recentlyRunJobs.record(run.name.task.jobId, now);
    }
    for (const auto &run : listing.ended) {
        m_recentlyRunJobs.record(run.name.task.jobId, now);
    }
}

void Scheduler::onProbeReply(TargetLedger &target, const RenewalReply &reply, TimePoint now)
{
    target.renewalInFlight = false;
    target.nextProbeAt = now + FirstProbePause;
    if (reply.result == RequestResult::Unknown || reply.result == RequestResult::NotSent) {
        target.probesAnsweredSince = TimePoint();
        if (!target.unresponsive) {
            m_observer.onTargetResponsivenessChanged(target.entry().id, true, 0);
        }
        target.unresponsive = true;
    } else if (target.probesAnsweredSince == TimePoint()) {
        target.probesAnsweredSince = now;
    }
}

void Scheduler::tick(TimePoint now)
{
    updateGrants(now);
    for (const auto &entryHost : m_grants.takeExpired(now)) {
        returnJobs(entryHost, "not heard", now);
    }
    std::erase_if(m_lostTargets, [now](const auto &lost) {
        return lost.second <= now;
    });
    std::erase_if(m_lostRunsEndBy, [now](const auto &lost) {
        return lost.second <= now;
    });
    std::vector<std::string> ids;
    for (const auto &[id, target] : m_targets) {
        ids.push_back(id);
    }
    for (const auto &id : ids) {
        const auto found = m_targets.find(id);
        if (found == m_targets.end()) {
            continue;
        }
        checkResponsiveness(*found->second, now);
        checkRuns(*found->second, now);
    }
    releaseIdleTargets(now);
    updateEvacuation(now);
    submitCollidingJobs(now);
    updateTimeliness(now);
    if (m_limits.refuseLate) {
        refuseLateJobs(now);
    }
    endInfeasibleJobs(now);
    for (auto &[name, service] : m_services) {
        if (!service.queue.empty()) {
            updateReservedTargets(service, now);
            schedule(name, now);
        }
    }
}

void Scheduler::checkResponsiveness(TargetLedger &target, TimePoint now)
{
    if (target.unresponsive && !target.renewalInFlight && now >= target.nextProbeAt) {
        renew(target, now);
    }
    const bool acknowledgementDue = target.hasPendingAcknowledgement() && now - target.lastAnswerAt > MaxAcknowledgementDelay;
    const bool repetitionDue = target.failedProbes > 0;
    const bool readingDue = target.ownership == Ownership::Owned && target.clock.age(now) > IdleClockInterval;
    const bool renewalDue = !target.runs().empty() || acknowledgementDue || repetitionDue || readingDue;
    if (!target.unresponsive && !target.renewalInFlight && renewalDue) {
        renew(target, now);
    }
    if (!target.unresponsive) {
        return;
    }
    const auto expired = target.expireRuns(now);
    if (target.haveLeasesEnded(now)) {
        releaseUnconfirmedStarts(target, now);
    }
    if (expired.empty()) {
        return;
    }
    m_observer.onTargetResponsivenessChanged(target.entry().id, true, expired.size());
    onRunsLost(target, LossEvidence::Unresponsive, target.lastAnswerAt, expired, now);
    for (const auto &run : expired) {
        if (!run.mayStartAgain) {
            onRunEnded(target, run, now);
        } else if (auto *job = jobOf(run.run); job != nullptr && m_crashSuspects.verdictOn(run.run.name.task) != CrashVerdict::Startable) {
            endCrashingJob(*job, now);
        }
    }
}

/// Lets jobs end that are given up but for unanswered starts on an unresponsive target. The starts stay in the ledger for a while, so that
/// a job that is sent again does not start beside them.
void Scheduler::releaseUnconfirmedStarts(TargetLedger &target, TimePoint now)
{
    std::set<std::string> givenUpJobs;
    std::vector<RunName> forgotten;
    for (const auto &[name, run] : target.runs()) {
        auto *job = findJob(name.task.jobId);
        if (job == nullptr && now - run.sentAt > UnconfirmedStartRetention) {
            forgotten.push_back(name);
        }
        auto *task = job != nullptr && job->pendingResult ? job->find(name.task) : nullptr;
        if (task != nullptr && task->phase == TaskPhase::Assigned && task->target == target.entry().id) {
            task->phase = TaskPhase::Waiting;
            task->target.clear();
            givenUpJobs.insert(name.task.jobId);
        }
    }
    for (const auto &name : forgotten) {
        target.dropRun(name);
    }
    for (const auto &id : givenUpJobs) {
        endIfNoRunsLeft(id, now);
    }
}

void Scheduler::releaseIdleTargets(TimePoint now)
{
    std::vector<std::string> idle;
    for (const auto &[id, target] : m_targets) {
        const bool released = target->ownership == Ownership::Retiring && target->runs().empty() && !target->renewalInFlight;
        const bool gone = target->entryGone && target->runs().empty() && !target->renewalInFlight;
        const bool unreachable =
            target->leaving && target->unresponsive && target->runs().empty() && now - target->lastAnswerAt > RemoveUnresponsiveAfter;
        if (released || gone || unreachable) {
            idle.push_back(id);
        }
    }
    for (const auto &id : idle) {
        eraseTarget(id);
        m_port.onTargetReleased(id);
    }
}
} // namespace Anvilcart::Fleet
