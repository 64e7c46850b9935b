#pragma once

#include "claims/claimoutbox.h"
#include "claims/claimtable.h"
#include "claims/interfaces/claimobserver.h"
#include "dispatch/interfaces/claimprovider.h"

#include <array>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace Anvilcart
{
/// Identifies the process that makes claims. Each process on a host is another incarnation.
struct ClaimantIdentity
{
    std::string host;
    std::string incarnation;
};

/// The same moment on both clocks: local decisions use the monotonic clock, log records the wall clock.
struct ClaimTime
{
    TimePoint monotonic;
    WallTime wall;
};

/// The result of the claims of one job.
struct JobClaimResult
{
    JobId job = 0;
    ClaimResult result;
};

/// Claims idempotency keys for the jobs of this host and grants or refuses a job once its claims have been read back from the log.
/// Has no clock, socket or thread of its own. Not thread-safe: used on the decision loop only.
class Claimant
{
public:
    /// The observer must outlive the claimant.
    Claimant(ClaimantIdentity identity, ClaimObserver &observer);

    /// Claims the keys of a job's non-idempotent tasks. Returns the result if it is known at once; otherwise takeResults()
    /// returns it later.
    std::optional<ClaimResult> claim(JobId job, const JobSpec &spec, TimePoint deadline, ClaimTime now);

    /// Abandons the claim of a task that will never be started. If the job still waits for its claims, all of them are abandoned.
    void abandonClaim(JobId job, std::uint32_t task);

    /// Records the outcome of a claimed task. Tasks without a claim are ignored.
    void recordOutcome(JobId job, std::uint32_t task, ClaimOutcomeKind kind, const std::string &text);

    /// Removes the claims of a job whose tasks have all ended.
    void closeClaims(JobId job);

    /// Applies the next records of the log.
    void applyRecords(const std::vector<ClaimRecord> &records, ClaimTime now);

    /// Records that the stream was read to its end, so that all records that the log retains have been applied.
    void setCaughtUp(std::size_t stream);

    /// Records whether the last request to the log succeeded.
    void setLogReachable(bool reachable);

    /// Refuses jobs whose claims were not read back in time and prunes expired records. Call a few times a second.
    void onTick(ClaimTime now);

    /// Requeues the records of an append that failed, without claims that no job waits for any more.
    void onAppendFailed(std::size_t stream, std::vector<ClaimRecord> records);

    /// Returns and clears the results since the last call.
    std::vector<JobClaimResult> takeResults();

    /// True once every stream has been read to its end.
    bool isReady() const;

    /// The records that wait to be appended.
    ClaimOutbox &outbox();

private:
    using TaskKey = std::pair<JobId, std::uint32_t>;

    struct PendingJob
    {
        std::map<std::uint32_t, Claim> claims;
        std::size_t unreadClaims = 0;
        TimePoint readBackDeadline;
        ClaimsGranted granted;
    };

    Claim makeClaim(const JobSpec &spec, const TaskSpec &task, TimePoint deadline, ClaimTime now);
    void onOwnClaimRead(JobId job, const Claim &claim, ClaimTime now);
    void grant(JobId job);
    void refuse(JobId job, Refusal refusal);
    void abandonPendingClaims(JobId job);
    void appendAbandonment(const Claim &claim);
    Refusal refusalFor(const KeyStatus &status, const std::string &key);

    ClaimantIdentity m_identity;
    ClaimObserver &m_observer;
    ClaimTable m_table;
    ClaimOutbox m_outbox;
    std::map<JobId, PendingJob> m_pendingJobs;
    std::unordered_map<std::string, JobId> m_jobOfPendingClaim;
    std::map<TaskKey, Claim> m_heldClaims;
    std::vector<JobClaimResult> m_results;
    std::array<bool, ClaimStreamCount> m_caughtUp {};
    bool m_logReachable = false;
    std::uint64_t m_lastClaimNumber = 0;
};
} // namespace Anvilcart
