#pragma once

#include "kernel/time.h"

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

namespace Anvilcart::Fleet
{
/// An order without an answer counts as unconfirmed after this time. Round trips take up to 3 ms; an answer that has arrived while the
/// host's processor stood still is read before the limit is looked at. A run that waits for its order's answer is late soon.
constexpr Milliseconds OrderLimit {50};
/// Added to the time that a renewal's answer may wait, for the same reasons.
constexpr Milliseconds RenewalSlack {60};

/// Names one task of a job.
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

/// One start of a task. A target starts a task only under a higher run number than it has seen of it.
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

/// One row of a target's list of ended runs.
struct EndedRun
{
    /// Position in the list; entries up to an acknowledged position are forgotten.
    std::uint64_t position = 0;
    RunName name;
    RunEnd end = RunEnd::Failed;
};

/// One row of a target's list of runs.
struct RunningRun
{
    RunName name;
    /// Progress, 0 to 100.
    int percent = 0;
};

/// A target's answer to a lease renewal.
struct TargetListing
{
    std::int64_t clockMs = 0;
    std::int64_t startedAtMs = 0;
    std::vector<RunningRun> running;
    std::vector<EndedRun> ended;
};

/// What came of an order to a target.
enum class OrderResult {
    /// Carried out.
    Accepted,
    /// Refused, nothing was done: a higher fencing token is in force.
    Fenced,
    /// Refused, nothing was done: this run number or a higher one has been stopped or has ended there.
    RunOutdated,
    /// Refused, nothing was done: the order came after its deadline.
    TooLate,
    /// Refused, nothing was done: the target has no room.
    NoRoom,
    /// Refused, nothing was done: another life of the target answers at this address.
    WrongIncarnation,
    /// Refused, nothing was done: the target is unhealthy, or does not understand the order.
    Rejected,
    /// No answer: it may have been carried out, or may be carried out later.
    Unknown,
    /// The connection could not be made, so the order was never sent.
    NotSent,
};
constexpr std::size_t OrderResultCount = 9;

/// The name in logs and metrics. Thread-safe.
constexpr const char *toName(OrderResult result)
{
    constexpr const char *Names[OrderResultCount] = {
        "accepted", "fenced", "run_outdated", "too_late", "no_room", "wrong_incarnation", "rejected", "unknown", "not_sent"};
    return Names[static_cast<std::size_t>(result)];
}

/// The name in logs and metrics. Thread-safe.
constexpr const char *toName(RunEnd end)
{
    constexpr const char *Names[] = {"done", "failed", "stopped", "lease_expired", "gang_broken", "gang_incomplete"};
    return Names[static_cast<std::size_t>(end)];
}

/// The answer to a start or a stop. clockMs is 0 when the target did not tell.
struct OrderReply
{
    OrderResult result = OrderResult::Unknown;
    std::int64_t clockMs = 0;
    /// The token of the order: an answer to an order of an earlier ownership says nothing of the present one.
    std::uint64_t fencingToken = 0;
};

/// The answer to a lease renewal; the listing counts only when it was accepted.
struct RenewalReply
{
    OrderResult result = OrderResult::Unknown;
    TargetListing listing;
    /// The token of the order.
    std::uint64_t fencingToken = 0;
};

/// Asks a target to start a run.
struct StartOrder
{
    RunName name;
    std::string payload;
    /// On the target's clock: the start is refused later, and the run's first lease lasts until then.
    std::int64_t leaseUntilMs = 0;
    std::uint64_t fencingToken = 0;
};

/// Asks a target to stop a run.
struct StopOrder
{
    RunName name;
    std::uint64_t fencingToken = 0;
};

/// Extends the lease of all that runs on a target and asks for its lists.
struct RenewalOrder
{
    std::uint64_t fencingToken = 0;
    /// On the target's clock; 0 leaves leases as they are.
    std::int64_t leaseUntilMs = 0;
    /// Ends up to this position need not be listed again.
    std::uint64_t acknowledgedEnds = 0;
    /// The answer may wait so long for a run to end.
    std::int64_t waitMs = 0;
};
} // namespace Anvilcart::Fleet
