#pragma once

#include "fleet/fleetview.h"
#include "scheduling/jobsubmission.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Anvilcart::Fleet
{
/// The end of a job, sent from the dispatcher to the entry host.
struct JobEndNotice
{
    std::string jobId;
    JobResult result;
    /// The epoch of the grant under which the job was submitted.
    std::uint64_t grantEpoch = 0;
    /// See JobSubmission::number.
    std::uint64_t submissionNumber = 0;
};

/// Targets were lost under tasks of a job; sent from the dispatcher to the entry host.
struct CrashNotice
{
    std::string jobId;
    std::vector<TaskCrashes> crashes;
    /// Rises with each notice of the sender's process; 0 from hosts of earlier versions.
    std::uint64_t number = 0;
};

/// Runs that the dispatcher has started for a job; sent to its entry host.
struct StartedRunsNotice
{
    std::string jobId;
    /// See JobSubmission::number.
    std::uint64_t submissionNumber = 0;
    std::vector<RunIdentity> runs;
};

/// Runs that another entry host's submission has started, and that the dispatcher has found for a job; sent to its entry host.
struct LongRunsNotice
{
    std::string jobId;
    /// Later than LongestRunAfterGrant after the entry host's grant.
    TimePoint endBy;
    /// See JobSubmission::number.
    std::uint64_t submissionNumber = 0;
};

/// The operator's configuration record as it is stored.
struct ConfigurationRecord
{
    std::uint64_t version = 0;
    std::string record;
};

/// What a host knows of a dispatcher that it has lost, by its last report.
struct LostDispatcher
{
    std::string host;
    std::uint64_t incarnation = 0;
    /// When the report was sent, on the lost dispatcher's clock, and when it arrived.
    Duration reportSentAt {0};
    TimePoint heardAt;
    std::vector<PoolName> pools;
    /// See HostReport::targetsDigest.
    std::uint64_t targetsDigest = 0;
};

/// A lost dispatcher runs nothing of the job any more; sent to the dispatcher that has the job now.
struct JobRelease
{
    std::string jobId;
    /// See JobSubmission::lostDispatcher.
    std::string lostDispatcher;
    /// See JobSubmission::number. It holds for this submission and those before it: the job may have gone back to the lost dispatcher
    /// since, and been taken from it again. 0 holds for every submission.
    std::uint64_t submissionNumber = 0;
};

/// Cancels a submission of the sender, or confirms the cancellation of one of the recipient's. It covers the submissions before it too.
struct JobCancellation
{
    std::string jobId;
    /// See JobSubmission::number. 0 covers every submission.
    std::uint64_t submissionNumber = 0;
};

/// A job that was cancelled on request. A submission by its caller before this time must not run.
struct CancelledJob
{
    std::string jobId;
    TimePoint until;
};

/// The answer to a host that asks all others to cancel a job, or that announces a cancelled one.
struct CancelAnswer
{
    std::string jobId;
    /// The job's caller waited here, and the job was cancelled, or it was cancelled before.
    bool cancelled = false;
    /// The sender remembers the cancellation, and so does every host that was live at the sender; false from earlier versions.
    bool isRemembered = false;
};

/// The last frame of the recipient that the sender has read. Without values before the first one.
struct FrameEcho
{
    std::uint64_t recipientIncarnation = 0;
    /// On the recipient's steady clock.
    Duration sentAt {0};
};

/// One message between two hosts.
struct FleetFrame
{
    std::string host;
    std::uint64_t incarnation = 0;
    /// The sender's steady clock at the time of encoding.
    Duration sentAt {0};
    /// Nothing from hosts of versions without it.
    std::optional<FrameEcho> echo;
    std::optional<HostReport> report;
    /// Peer endpoints that the sender knows. Sent only with a report.
    std::vector<Endpoint> knownEndpoints;
    /// Time since the sender received the recipient's last report. Sent only with a report.
    Duration timeSinceLastReport {0};
    /// The sender's permission for the recipient to run its jobs.
    std::optional<JobGrant> grant;
    /// The sender has jobs of the recipient, which should renew its grant at once.
    bool requestsGrant = false;
    /// The dispatchers that had the submitted jobs before.
    std::vector<LostDispatcher> lostDispatchers;
    std::vector<JobSubmission> submissions;
    std::vector<CrashNotice> crashNotices;
    std::vector<LongRunsNotice> longRuns;
    std::vector<StartedRunsNotice> startedRuns;
    std::vector<JobEndNotice> ended;
    std::vector<JobRelease> releases;
    std::vector<JobCancellation> cancellations;
    /// Jobs of the recipient that it has cancelled, and of which the sender has no run any more.
    std::vector<JobCancellation> confirmedCancellations;
    /// Jobs that a caller has asked the sender to cancel.
    std::vector<std::string> cancelInquiries;
    /// Cancelled jobs that the recipient must remember; it confirms each by an answer.
    std::vector<CancelledJob> cancelAnnouncements;
    std::vector<CancelAnswer> cancelAnswers;
    /// All cancelled jobs that the sender remembers, for a recipient that may not know them.
    std::vector<CancelledJob> cancelledJobs;
    /// Jobs that the sender ran and that were given up since. See RunNotices.
    std::vector<std::string> abandonedRuns;
    bool requestsConfiguration = false;
    std::optional<ConfigurationRecord> configuration;
};

/// Serializes a frame. Times are encoded relative to now, since hosts' clocks differ. Thread-safe.
std::string encodeFrame(const FleetFrame &frame, TimePoint now);

/// Parses a frame; nullopt when the bytes are not a valid frame or name no host. Thread-safe.
std::optional<FleetFrame> decodeFrame(std::string_view bytes, TimePoint now);
} // namespace Anvilcart::Fleet
