#include "scheduling/scheduler.h"

#include <algorithm>

// Targets: taking over, leases, listings, silence. Their runs are in schedulerruns.cpp.
namespace Anvilcart::Fleet
{
namespace
{
/// How long a renewal's answer may wait for a run to end. Leases are renewed that often; three fit into the longest lease of the sites.
constexpr Milliseconds RenewalWait {300};
/// While answers get lost, any target's next one may be, and an end that it tells is known only when the renewal after it is answered.
constexpr Milliseconds RenewalWaitWhileLost {60};
constexpr Seconds LossMemory {1};
/// Run times exceed their forecast by a third or so.
constexpr double BeyondExpectedEnd = 1.4;
/// A run that has outlived its forecast is asked for that often.
constexpr Milliseconds ShortestRenewalWait {60};
/// A target from which nothing was heard for so long is silent; until then an unanswered renewal is repeated at once.
constexpr Milliseconds SilentAfter {700};
/// Leases are granted only that long after the last answer: one lost renewal is made good, a dark target's runs end soon.
constexpr Milliseconds LeaseWhileUnanswered {650};
/// A target that was probed without an answer is probed again after this, doubled each time up to the longest pause.
constexpr Milliseconds FirstProbePause {100};
constexpr Milliseconds LongestProbePause {1000};
/// A target that did not answer a claim must answer probes for so long before it is claimed again.
constexpr Milliseconds AnswersBeforeClaim {500};
/// An idle target is told which ends were taken over at the latest after this time.
constexpr Milliseconds IdleAcknowledgement {1000};
/// Targets whose entry is gone are forgotten when they have been silent that long.
constexpr Seconds ForgetAfter {5};
} // namespace

void Scheduler::addTarget(const TargetEntry &entry, std::uint64_t fencingToken, TimePoint now)
{
    const auto found = m_targets.find(entry.id);
    if (found != m_targets.end()) {
        auto &target = *found->second;
        if (target.ownership == Ownership::Claiming && fencingToken > target.fencingToken()) {
            target.setFencingToken(fencingToken);
            renew(target, now);
        }
        return;
    }
    auto owned = std::make_unique<TargetLedger>(entry, fencingToken, m_limits.maxLease);
    auto &target = *owned;
    target.lastAnswerAt = now;
    m_targets[entry.id] = std::move(owned);
    m_services[entry.service].targets.push_back(&target);
    renew(target, now);
}

void Scheduler::updateTarget(const TargetEntry &entry)
{
    const auto found = m_targets.find(entry.id);
    if (found != m_targets.end() && (found->second->entry() != entry || found->second->entryGone)) {
        found->second->setEntry(entry);
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
    if (found->second->ownership == Ownership::Claiming) {
        eraseTarget(target);
        return;
    }
    found->second->ownership = Ownership::Retiring;
}

void Scheduler::keepTarget(const std::string &target)
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
    eraseTarget(targetId);
    for (const auto &name : runs) {
        auto *job = findJob(name.task.jobId);
        auto *task = job == nullptr ? nullptr : job->find(name.task);
        if (task == nullptr || task->phase != TaskPhase::Assigned || task->target != targetId) {
            continue;
        }
        task->phase = TaskPhase::Waiting;
        task->target.clear();
        beginEnding(*job, {JobEnd::Abandoned, JobEndReason::TargetsLost, Duration(0), {}}, now);
        finishIfOver(name.task.jobId, now);
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

bool Scheduler::isListed(const std::string &target) const
{
    const auto found = m_targets.find(target);
    return found != m_targets.end() && found->second->ownership != Ownership::Claiming;
}

std::vector<std::string> Scheduler::ownedTargets() const
{
    std::vector<std::string> ids;
    for (const auto &[id, target] : m_targets) {
        ids.push_back(id);
    }
    return ids;
}

std::size_t Scheduler::runCount() const
{
    std::size_t count = 0;
    for (const auto &[id, target] : m_targets) {
        count += target->runs().size();
    }
    return count;
}

TargetUsage Scheduler::usage(TimePoint now) const
{
    TargetUsage usage;
    for (const auto &[id, target] : m_targets) {
        ++usage.targets;
        usage.ejected += target->health.isEjected(now) ? 1 : 0;
        usage.silent += target->silent ? 1 : 0;
        usage.leaving += target->leaving ? 1 : 0;
        usage.runs += target->runs().size();
        usage.unidentifiedRuns += target->hasUnidentifiedRuns() ? 1 : 0;
        usage.milliCores += target->entry().capacity.milliCores;
        usage.usedMilliCores += target->entry().capacity.milliCores - target->freeRoom().milliCores;
    }
    for (const auto &[name, service] : m_services) {
        usage.queuedJobs += service.queue.size();
    }
    return usage;
}

/// How long a renewal's answer may wait: a little beyond the next expected end, since the answer that tells an end may be lost.
Duration Scheduler::renewalWait(const TargetLedger &target, TimePoint now) const
{
    Duration next = now - m_answerLostAt < LossMemory ? RenewalWaitWhileLost : RenewalWait;
    for (const auto &[name, run] : target.runs()) {
        const auto expected = std::chrono::duration_cast<Duration>(run.expected * target.health.slowness(now) * BeyondExpectedEnd);
        next = std::min(next, std::max(run.sentAt + expected - now, Duration(ShortestRenewalWait)));
    }
    return next;
}

void Scheduler::renew(TargetLedger &target, TimePoint now)
{
    RenewalRequest order;
    // A claim that was not answered goes on as a probe, which takes nothing over: when a cut heals, the hosts beyond it are heard first.
    const bool probes = target.ownership == Ownership::Claiming && target.failedProbes > 0
        && (target.answersSince == TimePoint() || now - target.answersSince < AnswersBeforeClaim);
    order.fencingToken = probes ? 0 : target.fencingToken();
    order.acknowledgedPosition = target.acknowledgedEnds();
    const bool waits = !target.runs().empty() && target.failedProbes == 0 && target.ownership != Ownership::Claiming;
    order.waitMs = waits ? std::chrono::duration_cast<Milliseconds>(renewalWait(target, now)).count() : 0;
    // The leases of a target that does not answer are left to end, so that its runs can be started elsewhere.
    const bool answers = !target.silent && now - target.lastAnswerAt < LeaseWhileUnanswered;
    if (target.clock.isKnown() && !target.runs().empty() && answers) {
        order.leaseUntilMs = target.leaseUntilMs(m_limits.maxLease, now);
        target.noteLease(order.leaseUntilMs, now);
    }
    target.renewalInFlight = true;
    target.renewalSentAt = now;
    target.renewalAcknowledges = order.acknowledgedPosition;
    m_port.sendRenewal(target.entry().id, order);
}

void Scheduler::onRenewalReply(const std::string &targetId, const RenewalReply &reply, TimePoint now)
{
    const auto found = m_targets.find(targetId);
    if (found == m_targets.end()) {
        return;
    }
    auto &target = *found->second;
    if (reply.fencingToken == 0 && target.ownership == Ownership::Claiming) {
        onProbeReply(target, reply, now);
        return;
    }
    if (reply.fencingToken != target.fencingToken()) {
        return;
    }
    target.renewalInFlight = false;
    if (reply.result == RequestResult::Fenced) {
        m_port.onTargetLost(targetId, target.ownership != Ownership::Claiming);
        return;
    }
    if (reply.result == RequestResult::WrongIncarnation) {
        target.leaving = true;
    }
    if (reply.result != RequestResult::Accepted && now - target.lastAnswerAt < SilentAfter && target.ownership != Ownership::Claiming) {
        // Single answers get lost; the target is asked again at once.
        m_answerLostAt = now;
        ++target.failedProbes;
        renew(target, now);
        return;
    }
    if (reply.result != RequestResult::Accepted) {
        if (!target.silent) {
            m_observer.onTargetSilence(targetId, true, 0);
        }
        target.silent = true;
        const auto pause = FirstProbePause * (1 << std::min(target.failedProbes, 4));
        target.nextProbeAt = now + std::min<Duration>(pause, LongestProbePause);
        ++target.failedProbes;
        return;
    }
    if (target.silent) {
        m_observer.onTargetSilence(targetId, false, 0);
    }
    target.silent = false;
    target.failedProbes = 0;
    target.lastAnswerAt = now;
    target.onAcknowledged(target.renewalAcknowledges);
    if (target.ownership == Ownership::Claiming) {
        noteEarlierRuns(reply.listing, now);
    }
    const auto changes = target.applyListing(reply.listing, target.renewalSentAt, now);
    if (changes.restarted) {
        target.ownership = Ownership::Claiming;
        m_port.onTargetRestarted(targetId);
    } else if (target.ownership == Ownership::Claiming) {
        target.ownership = Ownership::Owned;
        m_observer.onTargetClaimed(targetId, target.fencingToken(), changes.adopted.size());
    }
    const auto service = target.entry().service;
    for (const auto &run : changes.adopted) {
        onAdopted(target, run, now);
    }
    preventUnconfirmed(target, now);
    for (const auto &ended : changes.ended) {
        onRunEnded(target, ended, now);
    }
    schedule(service, now);
    if (!m_targets.contains(targetId)) {
        return;
    }
    if (!target.renewalInFlight && !target.runs().empty()) {
        renew(target, now);
    }
}

/// Remembers the jobs of which a target that is taken over had runs.
void Scheduler::noteEarlierRuns(const TargetListing &listing, TimePoint now)
{
    for (const auto &run : listing.running) {
        m_ranLately.note(run.name.task.jobId, now);
    }
    for (const auto &run : listing.ended) {
        m_ranLately.note(run.name.task.jobId, now);
    }
}

void Scheduler::onProbeReply(TargetLedger &target, const RenewalReply &reply, TimePoint now)
{
    target.renewalInFlight = false;
    target.nextProbeAt = now + FirstProbePause;
    if (reply.result == RequestResult::Unknown || reply.result == RequestResult::NotSent) {
        target.answersSince = TimePoint();
    } else if (target.answersSince == TimePoint()) {
        target.answersSince = now;
    }
}

void Scheduler::tick(TimePoint now)
{
    std::vector<std::string> ids;
    for (const auto &[id, target] : m_targets) {
        ids.push_back(id);
    }
    for (const auto &id : ids) {
        const auto found = m_targets.find(id);
        if (found == m_targets.end()) {
            continue;
        }
        watchSilence(*found->second, now);
        watchRuns(*found->second, now);
    }
    finishRetired(now);
    demoteLateJobs(now);
    endHopeless(now);
    for (auto &[name, service] : m_services) {
        if (!service.queue.empty()) {
            updateKeptTargets(service, now);
            schedule(name, now);
        }
    }
}

void Scheduler::watchSilence(TargetLedger &target, TimePoint now)
{
    if (target.silent && !target.renewalInFlight && now >= target.nextProbeAt) {
        renew(target, now);
    }
    const bool owesEnds = target.owesAcknowledgement() && now - target.lastAnswerAt > IdleAcknowledgement;
    if (!target.silent && !target.renewalInFlight && (!target.runs().empty() || owesEnds)) {
        renew(target, now);
    }
    if (!target.silent) {
        return;
    }
    const auto expired = target.expireAll(now);
    if (expired.empty()) {
        return;
    }
    m_observer.onTargetSilence(target.entry().id, true, expired.size());
    for (const auto &run : expired) {
        onRunEnded(target, run, now);
    }
}

void Scheduler::finishRetired(TimePoint now)
{
    std::vector<std::string> idle;
    for (const auto &[id, target] : m_targets) {
        const bool released = target->ownership == Ownership::Retiring && target->runs().empty() && !target->renewalInFlight;
        const bool gone = target->entryGone && target->runs().empty() && !target->renewalInFlight;
        const bool forgotten = target->leaving && target->silent && target->runs().empty() && now - target->lastAnswerAt > ForgetAfter;
        if (released || gone || forgotten) {
            idle.push_back(id);
        }
    }
    for (const auto &id : idle) {
        eraseTarget(id);
        m_port.onTargetReleased(id);
    }
}
} // namespace Anvilcart::Fleet
