#pragma once

#include "claims/walltime.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Anvilcart
{
/// Requests the right to start the task with an idempotency key.
struct Claim
{
    /// Unique across all hosts and incarnations.
    std::string id;
    /// The key that claims compete for.
    std::string key;
    std::string submission;
    std::string task;
    /// The host that made the claim.
    std::string host;
    std::string incarnation;
    /// When the claimant made the claim; claims that had expired by then do not conflict with it.
    WallTime claimedAt;
    /// The latest time at which the submission ends. After it, the task of a claim without an outcome may have run.
    WallTime endsBy;
    /// The time from which the key may be claimed again.
    WallTime expiresAt;
};

/// States that the claimant never started the task and never will. Valid before or after its claim in the log.
struct Abandonment
{
    std::string claim;
    std::string key;
    WallTime expiresAt;
};

/// How a claimed task ended.
enum class ClaimOutcomeKind {
    Finished,
    Failed,
    /// The task finished, but its output is too large for the log.
    FinishedWithoutOutput,
};

/// The outcome of a claimed task; a resubmission with the same key gets the same outcome.
struct ClaimOutcome
{
    std::string claim;
    std::string key;
    ClaimOutcomeKind kind = ClaimOutcomeKind::Finished;
    /// The output, or the error message of a failed task.
    std::string text;
};

using ClaimRecord = std::variant<Claim, Abandonment, ClaimOutcome>;

/// Encodes records as the body of one append. Thread-safe.
std::string encodeClaimRecords(const std::vector<ClaimRecord> &records);

/// Decodes the output of encodeClaimRecords(), skipping records of unknown kinds. Returns nullopt if the body is malformed. Thread-safe.
std::optional<std::vector<ClaimRecord>> decodeClaimRecords(const std::string &body);
} // namespace Anvilcart
