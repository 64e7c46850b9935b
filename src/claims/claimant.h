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
/// One process that makes claims; another one on the same host is another incarnation.
struct ClaimantIdentity
{
    std::string host;
    std::string incarnation;
};

/// The two clocks at one moment: decisions of this host use the monotonic one, records of the log the other.
struct ClaimTime
{
    TimePoint monotonic;
    WallTime wall;
};

/// The verdict on the claims of one job.
struct SettledClaims
{
    JobId job = 0;
    ClaimResult verdict;
};

/// Claims keys for the jobs of this host and decides when their claims have been read back. It has no clock, socket or thread of its
/// own. Not thread-safe: the decision loop's.
class Claimant
{
public:
    /// The observer outlives the claimant.
    Claimant(ClaimantIdentity identity, ClaimObserver &observer);

    /// Begins the claims of a job. A verdict is returned where it is known at once, or else comes from takeSettled().
    std::optional<ClaimResult> claim(JobId job, const JobSpec &spec, TimePoint deadline, ClaimTime now);

    /// Decides that the task is never started: its claim is abandoned. A job that still waits for its claims loses all of them.
    void abandon(JobId job, std::uint32_t task);

    /// Records what a claimed task gave. Tasks without a claim are ignored.
    void record(JobId job, std::uint32_t task, ClaimOutcomeKind kind, const std::string &text);

    /// Drops what is held for a job whose tasks have all ended.
    void forget(JobId job);

    /// Applies the next records of the log.
    void onRecords(const std::vector<ClaimRecord> &records, ClaimTime now);

    /// The stream was read to its end: what it still keeps is known here.
    void onCaughtUp(std::size_t stream);

    /// The log answered, or did not.
    void onLogReachable(bool reachable);

    /// Gives up claims that were not read back in time, and forgets what has expired. Call a few times a second.
    void onTick(ClaimTime now);

    /// Puts back the records of an append that failed; claims that are no longer waited for are left out.
    void onAppendFailed(std::size_t stream, std::vector<ClaimRecord> records);

    /// The verdicts since the last call.
    std::vector<SettledClaims> takeSettled();

    /// True from when every stream was read to its end.
    bool isReady() const;

    /// What waits to be appended.
    ClaimOutbox &outbox();

private:
    using TaskKey = std::pair<JobId, std::uint32_t>;

    struct PendingJob
    {
        std::map<std::uint32_t, Claim> claims;
        std::size_t unread = 0;
        TimePoint giveUpAt;
        ClaimsGranted granted;
    };

    Claim makeClaim(const JobSpec &spec, const TaskSpec &task, TimePoint deadline, ClaimTime now);
    void onOwnClaimRead(JobId job, const Claim &claim, ClaimTime now);
    void grant(JobId job);
    void refuse(JobId job, Refusal refusal);
    void dropPending(JobId job);
    void appendAbandonment(const Claim &claim);
    Refusal refusalFor(const KeyStanding &standing, const std::string &key);

    ClaimantIdentity m_identity;
    ClaimObserver &m_observer;
    ClaimTable m_table;
    ClaimOutbox m_outbox;
    std::map<JobId, PendingJob> m_pending;
    std::unordered_map<std::string, JobId> m_jobOfClaim;
    std::map<TaskKey, Claim> m_held;
    std::vector<SettledClaims> m_settled;
    std::array<bool, ClaimStreamCount> m_caughtUp {};
    bool m_reachable = false;
    std::uint64_t m_lastClaim = 0;
};
} // namespace Anvilcart
