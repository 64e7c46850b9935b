#include "claims/claimant.h"

#include <algorithm>

namespace Anvilcart
{
namespace
{
/// How long a claim is waited for before its job is refused.
constexpr Milliseconds ReadBackLimit {2000};
constexpr Milliseconds RetryWhenUnavailable {1000};
constexpr Milliseconds RetryWhenInProgress {500};
constexpr Milliseconds RetryNever {0};
/// How long after its deadline a job's task may still report an outcome.
constexpr Milliseconds OutcomeGrace {3000};
constexpr std::size_t MaxOutputBytes = 16384;
constexpr char KeySeparator = '\x1f';

std::string scopedKey(const std::string &team, const std::string &key)
{
    return team + KeySeparator + key;
}

Refusal unavailable(const std::string &message)
{
    return {ResultCode::ClaimsUnavailable, message, RetryWhenUnavailable};
}
} // namespace

Claimant::Claimant(ClaimantIdentity identity, ClaimObserver &observer)
    : m_identity(std::move(identity))
    , m_observer(observer)
{
}

std::optional<ClaimResult> Claimant::claim(JobId job, const JobSpec &spec, TimePoint deadline, ClaimTime now)
{
    if (!isReady()) {
        m_observer.onClaimEvent(ClaimEvent::LogUnavailable);
        return unavailable("this host has not read the log's claims yet");
    }
    PendingJob pending;
    pending.granted.startBefore = TimePoint::max();
    for (std::uint32_t i = 0; i < spec.tasks.size(); ++i) {
        const auto &task = spec.tasks[i];
        if (task.idempotent) {
            continue;
        }
        auto standing = m_table.standing(scopedKey(spec.team, task.idempotencyKey), now.wall);
        if (standing.state == KeyState::Finished) {
            m_observer.onClaimEvent(ClaimEvent::AnsweredBefore);
            pending.granted.recordedOutputs.push_back({i, std::move(standing.text)});
            continue;
        }
        if (standing.state != KeyState::Free) {
            return refusalFor(standing, task.idempotencyKey);
        }
        pending.claims.emplace(i, makeClaim(spec, task, deadline, now));
        pending.granted.startBefore = std::min(pending.granted.startBefore, now.monotonic + task.keyExpiry - MaxClockSkew);
    }
    if (pending.claims.empty()) {
        return std::move(pending.granted);
    }
    if (!m_reachable) {
        m_observer.onClaimEvent(ClaimEvent::LogUnavailable);
        return unavailable("the log is out of reach");
    }
    pending.unread = pending.claims.size();
    pending.giveUpAt = now.monotonic + ReadBackLimit;
    for (const auto &[task, claim] : pending.claims) {
        m_jobOfClaim.emplace(claim.id, job);
        m_outbox.add(claim);
    }
    m_pending.emplace(job, std::move(pending));
    return std::nullopt;
}

void Claimant::abandon(JobId job, std::uint32_t task)
{
    if (m_pending.contains(job)) {
        dropPending(job);
        return;
    }
    // The claim leaves m_held before anything is appended, so that nothing can start the task any more.
    if (const auto held = m_held.extract({job, task})) {
        appendAbandonment(held.mapped());
    }
}

void Claimant::record(JobId job, std::uint32_t task, ClaimOutcomeKind kind, const std::string &text)
{
    const auto held = m_held.extract({job, task});
    if (!held) {
        return;
    }
    ClaimOutcome outcome {held.mapped().id, held.mapped().key, kind, text};
    if (text.size() > MaxOutputBytes) {
        outcome.kind = kind == ClaimOutcomeKind::Finished ? ClaimOutcomeKind::FinishedWithoutOutput : kind;
        outcome.text.clear();
    }
    m_observer.onClaimEvent(ClaimEvent::OutcomeRecorded);
    m_table.apply(outcome);
    m_outbox.add(std::move(outcome));
}

void Claimant::forget(JobId job)
{
    dropPending(job);
    m_held.erase(m_held.lower_bound({job, 0}), m_held.lower_bound({job + 1, 0}));
}

void Claimant::onRecords(const std::vector<ClaimRecord> &records, ClaimTime now)
{
    for (const auto &record : records) {
        m_table.apply(record);
        const auto *claim = std::get_if<Claim>(&record);
        if (claim == nullptr) {
            continue;
        }
        if (const auto own = m_jobOfClaim.extract(claim->id)) {
            onOwnClaimRead(own.mapped(), *claim, now);
        }
    }
}

void Claimant::onCaughtUp(std::size_t stream)
{
    m_caughtUp[stream] = true;
}

void Claimant::onLogReachable(bool reachable)
{
    m_reachable = reachable;
}

void Claimant::onTick(ClaimTime now)
{
    std::vector<JobId> late;
    for (const auto &[job, pending] : m_pending) {
        if (now.monotonic >= pending.giveUpAt) {
            late.push_back(job);
        }
    }
    for (const auto job : late) {
        m_observer.onClaimEvent(ClaimEvent::ReadBackTimeout);
        refuse(job, unavailable("the log did not take the claims in time"));
    }
    m_table.prune(now.wall);
}

void Claimant::onAppendFailed(std::size_t stream, std::vector<ClaimRecord> records)
{
    m_observer.onClaimEvent(ClaimEvent::AppendFailed);
    std::erase_if(records, [this](const ClaimRecord &record) {
        const auto *claim = std::get_if<Claim>(&record);
        return claim != nullptr && !m_jobOfClaim.contains(claim->id);
    });
    m_outbox.putBack(stream, std::move(records));
}

std::vector<SettledClaims> Claimant::takeSettled()
{
    return std::exchange(m_settled, {});
}

bool Claimant::isReady() const
{
    return std::all_of(m_caughtUp.begin(), m_caughtUp.end(), [](bool caughtUp) {
        return caughtUp;
    });
}

ClaimOutbox &Claimant::outbox()
{
    return m_outbox;
}

Claim Claimant::makeClaim(const JobSpec &spec, const TaskSpec &task, TimePoint deadline, ClaimTime now)
{
    const auto remaining = std::chrono::ceil<Milliseconds>(deadline - now.monotonic);
    return {m_identity.host + "/" + m_identity.incarnation + "/" + std::to_string(++m_lastClaim),
            scopedKey(spec.team, task.idempotencyKey),
            spec.submission,
            task.id,
            m_identity.host,
            m_identity.incarnation,
            now.wall,
            now.wall + remaining + OutcomeGrace,
            now.wall + task.keyExpiry};
}

void Claimant::onOwnClaimRead(JobId job, const Claim &claim, ClaimTime now)
{
    const auto found = m_pending.find(job);
    if (found == m_pending.end()) {
        return;
    }
    if (now.monotonic >= found->second.giveUpAt) {
        m_observer.onClaimEvent(ClaimEvent::ReadBackTimeout);
        refuse(job, unavailable("the log did not take the claims in time"));
        return;
    }
    if (!m_table.isGranted(claim.key, claim.id)) {
        const auto key = claim.key.substr(claim.key.find(KeySeparator) + 1);
        refuse(job, refusalFor(m_table.obstacle(claim.key, claim.id, now.wall), key));
        return;
    }
    if (--found->second.unread == 0) {
        grant(job);
    }
}

void Claimant::grant(JobId job)
{
    auto pending = m_pending.extract(job);
    for (auto &[task, claim] : pending.mapped().claims) {
        m_observer.onClaimEvent(ClaimEvent::Granted);
        m_held.emplace(TaskKey(job, task), std::move(claim));
    }
    m_settled.push_back({job, std::move(pending.mapped().granted)});
}

void Claimant::refuse(JobId job, Refusal refusal)
{
    dropPending(job);
    m_settled.push_back({job, std::move(refusal)});
}

void Claimant::dropPending(JobId job)
{
    const auto pending = m_pending.extract(job);
    if (!pending) {
        return;
    }
    for (const auto &[task, claim] : pending.mapped().claims) {
        m_jobOfClaim.erase(claim.id);
        m_outbox.remove(claim);
        appendAbandonment(claim);
    }
}

void Claimant::appendAbandonment(const Claim &claim)
{
    m_observer.onClaimEvent(ClaimEvent::Abandoned);
    const Abandonment abandonment {claim.id, claim.key, claim.expiresAt};
    m_table.apply(abandonment);
    m_outbox.add(abandonment);
}

Refusal Claimant::refusalFor(const KeyStanding &standing, const std::string &key)
{
    const auto named = "idempotency key '" + key + "' ";
    switch (standing.state) {
    case KeyState::Failed:
        m_observer.onClaimEvent(ClaimEvent::AnsweredBefore);
        return {ResultCode::TaskFailed, named + "was used before and its task failed: " + standing.text, RetryNever};
    case KeyState::MayHaveRun:
        m_observer.onClaimEvent(ClaimEvent::MayHaveRun);
        return {ResultCode::KeyMayHaveRun, named + "was claimed on host " + standing.host + " and left no outcome", RetryNever};
    default:
        m_observer.onClaimEvent(ClaimEvent::ClaimedElsewhere);
        return {ResultCode::KeyClaimedElsewhere, named + "is claimed on host " + standing.host, RetryWhenInProgress};
    }
}
} // namespace Anvilcart
