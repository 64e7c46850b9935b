#pragma once

#include "scheduling/jobsubmission.h"

#include <set>
#include <string>

namespace Anvilcart::Fleet
{
/// The outcome of a job, as reported to its caller.
enum class CallerAnswer {
    /// Every task completed successfully.
    Completed,
    /// A task failed in as many attempts as its route allows.
    Failed,
    /// No task was started; the caller may try again later.
    NotRun,
    /// Tasks may have run, but their outcome is not known.
    Unknown,
    /// The job was cancelled on request. Tasks may have run; no task will be started.
    Cancelled,
};

/// The name in logs and metrics. Thread-safe.
constexpr const char *toName(CallerAnswer answer)
{
    constexpr const char *Names[] = {"completed", "failed", "not_run", "unknown", "cancelled"};
    return Names[static_cast<std::size_t>(answer)];
}

/// The answer to a caller, its reason, and the time after which the caller may try again.
struct CallerReply
{
    CallerAnswer answer = CallerAnswer::Unknown;
    std::string reason;
    Duration retryAfter {0};
};

/// A job whose caller waits for the answer on this host.
struct EntryJob
{
    JobSubmission submission;
    TimePoint answerBy;
    /// The dispatcher that the job was submitted to, and its incarnation at that time; empty while there is none.
    std::string dispatcher;
    std::uint64_t dispatcherIncarnation = 0;
    /// The epoch of the grant under which that dispatcher has the job.
    std::uint64_t grantEpoch = 0;
    /// When the runs that it has found have ended; TimePoint() when its grant says that.
    TimePoint longRunsEndBy;
    /// That dispatcher is not live: the job waits for it, or for another one that can have it first.
    bool dispatcherIsLost = false;
    /// When a connection to or from that dispatcher closed, so that the submission or its result may be lost; TimePoint() when none did.
    TimePoint connectionClosedAt;
    /// The lost dispatcher from which the job was taken last, its incarnation, and the epoch and the number under which it had the job.
    std::string previousDispatcher;
    std::uint64_t previousDispatcherIncarnation = 0;
    std::uint64_t previousGrantEpoch = 0;
    std::uint64_t previousSubmissionNumber = 0;
    /// The process that sent the last crash notice, and the number of that notice.
    std::string crashNoticeSender;
    std::uint64_t crashNoticeIncarnation = 0;
    std::uint64_t crashNoticeNumber = 0;
    /// The dispatchers that returned or refused the job since they may start its tasks only in evacuated zones.
    std::set<std::string> evacuatedDispatchers;
    /// How often the job was submitted to a dispatcher.
    int submissionCount = 0;
    /// A dispatcher may have started a task of the job.
    bool mayHaveRun = false;
    /// The earliest time of the next submission.
    TimePoint nextTryAt;
};
} // namespace Anvilcart::Fleet
