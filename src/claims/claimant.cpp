#include "claims/claimant.h"

#include <algorithm>

namespace Anvilcart
{
namespace
{
/// How long a job waits for its claims to be read back before it is refused.
constexpr Milliseconds ReadBackTimeLimit {2000};
constexpr Milliseconds UnavailableRetryDelay {1000};
constexpr Milliseconds InProgressRetryDelay {500};
constexpr Milliseconds NoRetry {0};
/// How long after its job's deadline a task may still report an outcome.
constexpr Milliseconds OutcomeGracePeriod {3000};
constexpr std::size_t MaxOutcomeTextBytes = 16384;
constexpr char KeySeparator = '\x1f';

std::string scopedKey(const std::string &team, const std::string &key)
{
    return team + KeySeparator + key;
}

Refusal claimsUnavailable(const std::string &message)
{
    return {ResultCode::ClaimsUnavailable, message, UnavailableRetryDelay};
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
        return claimsUnavailable("this host has not read the log's claims yet");
    }
    PendingJob pending;
    pending.granted.startBefore = TimePoint::max();
    for (std::uint32_t i = 0; i < spec.tasks.size(); ++i) {
        const auto &task = spec.tasks[i];
        if (task.idempotent) {
            continue;
        }
        auto status = m_table.keyStatus(scopedKey(spec.team, task.idempotencyKey), now.wall);
        if (status.state == KeyState::Finished) {
            m_observer.onClaimEvent(ClaimEvent::AnsweredBefore);
            pending.granted.recordedOutputs.push_back({i, std::move(status.text)});
            continue;
        }
        if (status.state != KeyState::Free) {
            return refusalFor(status, task.idempotencyKey);
        }
        pending.claims.emplace(i, makeClaim(spec, task, deadline, now));
        pending.granted.startBefore = std::min(pending.granted.startBefore, now.monotonic + task.keyExpiry - MaxClockSkew);
    }
    if (pending.claims.empty()) {
        return std::move(pending.granted);
    }
    if (!m_logReachable) {
        m_observer.onClaimEvent(ClaimEvent::LogUnavailable);
        return claimsUnavailable("the log is out of reach");
    }
    pending.unreadClaims = pending.claims.size();
    pending.readBackDeadline = now.monotonic + ReadBackTimeLimit;
    for (const auto &[task, claim] : pending.claims) {
        m_jobOfPendingClaim.emplace(claim.id, job);
        m_outbox.add(claim);
    }
    m_pendingJobs.emplace(job, std::move(pending));
    return std::nullopt;
}

void Claimant::abandonClaim(JobId job, std::uint32_t task)
{
    if (m_pendingJobs.contains(job)) {
        abandonPendingClaims(job);
        return;
    }
    // Remove the claim before appending the abandonment: without a held claim the task can no longer be started.
    if (const auto heldClaim = m_heldClaims.extract({job, task})) {
        appendAbandonment(heldClaim.mapped());
    }
}

void Claimant::recordOutcome(JobId job, std::uint32_t task, ClaimOutcomeKind kind, const std::string &text)
{
    const auto heldClaim = m_heldClaims.extract({job, task});
    if (!heldClaim) {
        return;
    }
    ClaimOutcome outcome {heldClaim.mapped().id, heldClaim.mapped().key, kind, text};
    if (text.size() > MaxOutcomeTextBytes) {
        outcome.kind = kind == ClaimOutcomeKind::Finished ? ClaimOutcomeKind::FinishedWithoutOutput : kind;
        outcome.text.clear();
    }
    m_observer.onClaimEvent(ClaimEvent::OutcomeRecorded);
    m_table.apply(outcome);
    m_outbox.add(std::move(outcome));
}

void Claimant::closeClaims(JobId job)
{
    abandonPendingClaims(job);
    m_heldClaims.erase(m_heldClaims.lower_bound({job, 0}), m_heldClaims.lower_bound({job + 1, 0}));
}

void Claimant::applyRecords(const std::vector<ClaimRecord> &records, ClaimTime now)
{
    for (const auto &record : records) {
        m_table.apply(record);
        const auto *claim = std::get_if<Claim>(&record);
        if (claim == nullptr) {
            continue;
        }
        if (const auto pendingJob = m_jobOfPendingClaim.extract(claim->id)) {
            onOwnClaimRead(pendingJob.mapped(), *claim, now);
        }
    }
}

void Claimant::setCaughtUp(std::size_t stream)
{
    m_caughtUp[stream] = true;
}

void Claimant::setLogReachable(bool reachable)
{
    m_logReachable = reachable;
}

void Claimant::onTick(ClaimTime now)
{
    std::vector<JobId> timedOutJobs;
    for (const auto &[job, pending] : m_pendingJobs) {
        if (now.monotonic >= pending.readBackDeadline) {
            timedOutJobs.push_back(job);
        }
    }
    for (const auto job : timedOutJobs) {
        m_observer.onClaimEvent(ClaimEvent::ReadBackTimeout);
        refuse(job, claimsUnavailable("the log did not take the claims in time"));
    }
    m_table.prune(now.wall);
}

void Claimant::onAppendFailed(std::size_t stream, std::vector<ClaimRecord> records)
{
    m_observer.onClaimEvent(ClaimEvent::AppendFailed);
    std::erase_if(records, [this](const ClaimRecord &record) {
        const auto *claim = std::get_if<Claim>(&record);
        return claim != nullptr && !m_jobOfPendingClaim.contains(claim->id);
    });
    m_outbox.requeueBatch(stream, std::move(records));
}

std::vector<JobClaimResult> Claimant::takeResults()
{
    return std::exchange(m_results, {});
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
    return {m_identity.host + "/" + m_identity.incarnation + "/" + std::to_string(++m_lastClaimNumber),
            scopedKey(spec.team, task.idempotencyKey),
            spec.submission,
            task.id,
            m_identity.host,
            m_identity.incarnation,
            now.wall,
            now.wall + remaining + OutcomeGracePeriod,
            now.wall + task.keyExpiry};
}

void Claimant::onOwnClaimRead(JobId job, const Claim &claim, ClaimTime now)
{
    const auto found = m_pendingJobs.find(job);
    if (found == m_pendingJobs.end()) {
        return;
    }
    if (now.monotonic >= found->second.readBackDeadline) {
        m_observer.onClaimEvent(ClaimEvent::ReadBackTimeout);
        refuse(job, claimsUnavailable("the log did not take the claims in time"));
        return;
    }
    if (!m_table.isGranted(claim.key, claim.id)) {
        const auto key = claim.key.substr(claim.key.find(KeySeparator) + 1);
        refuse(job, refusalFor(m_table.conflictOf(claim.key, claim.id, now.wall), key));
        return;
    }
    if (--found->second.unreadClaims == 0) {
        grant(job);
    }
}

void Claimant::grant(JobId job)
{
    auto pending = m_pendingJobs.extract(job);
    for (auto &[task, claim] : pending.mapped().claims) {
        m_observer.onClaimEvent(ClaimEvent::Granted);
        m_heldClaims.emplace(TaskKey(job, task), std::move(claim));
    }
    m_results.push_back({job, std::move(pending.mapped().granted)});
}

void Claimant::refuse(JobId job, Refusal refusal)
{
    abandonPendingClaims(job);
    m_results.push_back({job, std::move(refusal)});
}

void Claimant::abandonPendingClaims(JobId job)
{
    const auto pending = m_pendingJobs.extract(job);
    if (!pending) {
        return;
    }
    for (const auto &[task, claim] : pending.mapped().claims) {
        m_jobOfPendingClaim.erase(claim.id);
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

Refusal Claimant::refusalFor(const KeyStatus &status, const std::string &key)
{
    const auto subject = "idempotency key '" + key + "' ";
    switch (status.state) {
    case KeyState::Failed:
        m_observer.onClaimEvent(ClaimEvent::AnsweredBefore);
        return {ResultCode::TaskFailed, subject + "was used before and its task failed: " + status.text, NoRetry};
    case KeyState::MayHaveRun:
        m_observer.onClaimEvent(ClaimEvent::MayHaveRun);
        return {ResultCode::KeyMayHaveRun, subject + "was claimed on host " + status.host + " and left no outcome", NoRetry};
    default:
        m_observer.onClaimEvent(ClaimEvent::ClaimedElsewhere);
        return {ResultCode::KeyClaimedElsewhere, subject + "is claimed on host " + status.host, InProgressRetryDelay};
    }
}
} // namespace Anvilcart
