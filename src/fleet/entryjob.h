#pragma once

#include "scheduling/jobsubmission.h"

#include <string>

namespace Anvilcart::Fleet
{
/// What a caller is told of its job.
enum class CallerAnswer {
    /// Every task ended well.
    Completed,
    /// A task failed as often as its route allows.
    Failed,
    /// No task was started; the caller may try again later.
    NotRun,
    /// Tasks may have run, and the answer is not known.
    Unknown,
};

/// The name in logs and metrics. Thread-safe.
constexpr const char *toName(CallerAnswer answer)
{
    constexpr const char *Names[] = {"completed", "failed", "not_run", "unknown"};
    return Names[static_cast<std::size_t>(answer)];
}

/// An answer with what led to it.
struct CallerReply
{
    CallerAnswer answer = CallerAnswer::Unknown;
    std::string reason;
    Duration retryAfter {0};
};

/// A job whose caller waits on this host.
struct EntryJob
{
    JobSubmission order;
    TimePoint answerBy;
    /// The dispatcher that has it, and the incarnation that was seen; empty while none has.
    std::string dispatcher;
    std::uint64_t incarnation = 0;
    /// Submissions so far.
    int submissions = 0;
    /// A dispatcher may have started a task of it.
    bool mayHaveRun = false;
    /// It is handed to a dispatcher not before then.
    TimePoint nextTryAt;
};
} // namespace Anvilcart::Fleet
