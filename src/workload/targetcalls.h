#pragma once

#include "kernel/time.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace Anvilcart::Fleet
{
/// The shortest time after which a start or stop request without a reply is repeated. Round trips take up to 3 ms. A reply that arrived
/// while the host process was suspended is read before the timeout is checked.
constexpr Milliseconds TargetRequestTimeout {12};
/// The timeout of a lease renewal is its wait time plus at least this margin: a target's timers are late by some milliseconds.
constexpr Milliseconds RenewalTimeoutMargin {22};
/// The margin of claims and probes, after which a host looks for another target or waits.
constexpr Milliseconds ClaimTimeoutMargin {60};
/// The timeout of a request doubles with each repetition, up to this one, which is below the first lease of a run.
constexpr Milliseconds MaxTargetRequestTimeout {250};

/// The timeout of a request that repeats this many unanswered ones. Thread-safe.
constexpr Duration timeoutOfRepetition(Duration first, std::uint32_t repetitions)
{
    constexpr std::uint32_t MaxDoublings = 4;
    return std::min<Duration>(first * (1 << std::min(repetitions, MaxDoublings)), std::max<Duration>(first, MaxTargetRequestTimeout));
}

/// Identifies one task of a job.
struct TaskName
{
    std::string jobId;
    std::uint64_t occurrence = 0;
    std::uint32_t step = 0;
    std::uint32_t index = 0;

    bool operator==(const TaskName &) const = default;

    bool operator<(const TaskName &other) const
    {
        return std::tie(jobId, occurrence, step, index) < std::tie(other.jobId, other.occurrence, other.step, other.index);
    }
};

/// Identifies one run of a task. A target starts a task only with a higher run number than it has seen for that task.
struct RunName
{
    TaskName task;
    std::uint32_t run = 0;

    bool operator==(const RunName &) const = default;

    bool operator<(const RunName &other) const
    {
        return std::tie(task, run) < std::tie(other.task, other.run);
    }
};

/// How a run ended.
enum class RunEnd {
    Done,
    Failed,
    Stopped,
    LeaseExpired,
    GangBroken,
    GangIncomplete,
};

/// An entry in a target's list of ended runs.
struct EndedRun
{
    /// Position in the list; the target deletes entries up to an acknowledged position.
    std::uint64_t position = 0;
    RunName name;
    RunEnd end = RunEnd::Failed;
};

/// An entry in a target's list of active runs.
struct ActiveRun
{
    RunName name;
    /// Progress, 0 to 100.
    int percent = 0;
};

/// What a target reports in reply to a lease renewal.
struct TargetListing
{
    std::int64_t clockMs = 0;
    std::int64_t startedAtMs = 0;
    std::vector<ActiveRun> running;
    std::vector<EndedRun> ended;
};

/// Result of a request to a target.
enum class RequestResult {
    /// The request was carried out.
    Accepted,
    /// Rejected without effect: a higher fencing token is in force.
    Fenced,
    /// Rejected without effect: this run or a later run of the task has been stopped or has ended on the target.
    RunOutdated,
    /// Rejected without effect: the request arrived after its deadline.
    TooLate,
    /// Rejected without effect: the target has too little free capacity.
    InsufficientCapacity,
    /// Rejected without effect: another incarnation of the target answers at this address.
    WrongIncarnation,
    /// Rejected without effect: the target is unhealthy, or does not understand the request.
    Rejected,
    /// No reply: the request may have been carried out, or may be carried out later.
    Unknown,
    /// The connection failed, so the request was never sent.
    NotSent,
    /// The target has closed its connections since it was last listed, so the request was never sent: the target may have restarted.
    ConnectionClosed,
};
constexpr std::size_t RequestResultCount = 10;

/// True if the target has answered the request. Thread-safe.
constexpr bool isAnswer(RequestResult result)
{
    return result != RequestResult::Unknown && result != RequestResult::NotSent && result != RequestResult::ConnectionClosed;
}

/// Returns the name used in logs and metrics. Thread-safe.
constexpr const char *toName(RequestResult result)
{
    constexpr const char *Names[RequestResultCount] = {"accepted",
                                                       "fenced",
                                                       "run_outdated",
                                                       "too_late",
                                                       "no_room",
                                                       "wrong_incarnation",
                                                       "rejected",
                                                       "unknown",
                                                       "not_sent",
                                                       "connection_closed"};
    return Names[static_cast<std::size_t>(result)];
}

/// Returns the name used in logs and metrics. Thread-safe.
constexpr const char *toName(RunEnd end)
{
    constexpr const char *Names[] = {"done", "failed", "stopped", "lease_expired", "gang_broken", "gang_incomplete"};
    return Names[static_cast<std::size_t>(end)];
}

/// The reply to a start or stop request. clockMs is 0 when the target did not report its clock.
struct TargetReply
{
    RequestResult result = RequestResult::Unknown;
    std::int64_t clockMs = 0;
    /// Fencing token of the request. A reply to a request from an earlier ownership of the target does not apply to the current one.
    std::uint64_t fencingToken = 0;
};

/// The reply to a lease renewal; the listing is valid only when the result is Accepted.
struct RenewalReply
{
    RequestResult result = RequestResult::Unknown;
    TargetListing listing;
    /// Fencing token of the request.
    std::uint64_t fencingToken = 0;
    /// Sequence number and time of the request.
    std::uint64_t sequence = 0;
    TimePoint sentAt;
};

/// Asks a target to start a run.
struct StartRequest
{
    RunName name;
    std::string payload;
    /// On the target's clock: a start that arrives later is rejected, and the run's first lease ends then.
    std::int64_t leaseUntilMs = 0;
    std::uint64_t fencingToken = 0;
    /// How many unanswered requests for the same start this one repeats.
    std::uint32_t repetitions = 0;
};

/// Asks a target to stop a run.
struct StopRequest
{
    RunName name;
    std::uint64_t fencingToken = 0;
    /// How many unanswered requests for the same stop this one repeats.
    std::uint32_t repetitions = 0;
};

/// Extends the leases of all runs on a target and requests its lists of active and ended runs.
struct RenewalRequest
{
    std::uint64_t fencingToken = 0;
    /// On the target's clock; 0 leaves the leases unchanged.
    std::int64_t leaseUntilMs = 0;
    /// Ended runs up to this position need not be listed again.
    std::uint64_t acknowledgedPosition = 0;
    /// How long the target may delay its reply until a run ends.
    std::int64_t waitMs = 0;
    /// True for a renewal that is repeated at once if it is not answered; false for claims and probes.
    bool isRepeated = false;
    /// How many unanswered renewals in a row this one follows.
    std::uint32_t repetitions = 0;
    /// Distinguishes the renewals of one host, above 0. 0 for probes of targets that the host does not claim. Not on the wire; the reply
    /// repeats it, and when the renewal was sent.
    std::uint64_t sequence = 0;
    TimePoint sentAt;
};

/// The timeout of a renewal; extraTime is added where round trips are long. Thread-safe.
constexpr Duration renewalTimeout(const RenewalRequest &request, Duration extraTime)
{
    const Duration margin = (request.isRepeated ? RenewalTimeoutMargin : ClaimTimeoutMargin) + extraTime;
    const Duration longest = ClaimTimeoutMargin + extraTime;
    return Milliseconds(request.waitMs) + std::min(longest, timeoutOfRepetition(margin, request.repetitions));
}
} // namespace Anvilcart::Fleet
