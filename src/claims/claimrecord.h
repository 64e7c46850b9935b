#pragma once

#include "claims/walltime.h"

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Anvilcart
{
/// Asks for the right to start the task that has an idempotency key.
struct Claim
{
    /// Unique over all hosts and incarnations.
    std::string id;
    /// The key that claims compete for.
    std::string key;
    std::string submission;
    std::string task;
    /// The claimant.
    std::string host;
    std::string incarnation;
    /// When the claimant made the claim; an earlier claim that had expired by then does not stand in its way.
    WallTime claimedAt;
    /// When the submission has ended at the latest. Later, a claim without an outcome may have run.
    WallTime endsBy;
    /// From then on the key may be claimed anew.
    WallTime expiresAt;
};

/// States that a claimant never started the task and never will. It counts wherever it stands in the log.
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
    /// It finished, but its output is too large for the log.
    FinishedWithoutOutput,
};

/// What a claimed task gave; a resubmission with the same key gets it again.
struct ClaimOutcome
{
    std::string claim;
    std::string key;
    ClaimOutcomeKind kind = ClaimOutcomeKind::Finished;
    /// The output, or the message of a failed task.
    std::string text;
};

using ClaimRecord = std::variant<Claim, Abandonment, ClaimOutcome>;

/// The body of one append that holds many records. Thread-safe.
std::string encode(const std::vector<ClaimRecord> &records);

/// Reads what encode() wrote, without records of kinds that are unknown here; nothing when the body is not that. Thread-safe.
std::optional<std::vector<ClaimRecord>> decodeClaimRecords(const std::string &body);
} // namespace Anvilcart
