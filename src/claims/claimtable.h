#pragma once

#include "claims/claimrecord.h"

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Anvilcart
{
/// Whether the task of a key may be started, according to the claims on the key.
enum class KeyState {
    /// No claim prevents the start.
    Free,
    /// Another submission holds a claim and may still be running the task.
    InProgress,
    /// The submission of a claim has ended without an outcome, so its task may have run.
    MayHaveRun,
    /// The task ran and its output is recorded.
    Finished,
    /// The task ran and failed.
    Failed,
};

/// The state of a key, with the recorded output or error message if any.
struct KeyStatus
{
    KeyState state = KeyState::Free;
    std::string text;
    /// The host that made the claim that determines the state.
    std::string host;
};

/// Decides which claim may start the task of a key. Readers that apply the same records in log order decide alike. A reader that
/// starts after the log has dropped old records decides like the others on every claim made since it caught up with the log.
/// Not thread-safe.
class ClaimTable
{
public:
    /// Applies the next record of the log. A duplicate of a claim is ignored: the first one determines its position.
    void apply(const ClaimRecord &record);

    /// True from when the claim is read from the log until it is pruned.
    bool contains(const std::string &key, const std::string &claim) const;

    /// True if the claim was read, was not abandoned, and every claim on the key before it was abandoned or had expired
    /// when it was made. A claimant calls this once, when it reads its claim back.
    bool isGranted(const std::string &key, const std::string &claim) const;

    /// The state of the key as set by the claims before this one; Free if none of them conflicts or this claim is unknown.
    KeyStatus conflictOf(const std::string &key, const std::string &claim, WallTime now) const;

    /// The state of the key for a claim that is made now.
    KeyStatus keyStatus(const std::string &key, WallTime now) const;

    /// Removes claims and abandonments that expired so long ago that they cannot affect a claim that could still be granted.
    void prune(WallTime now);

    /// The number of claims in the table.
    std::size_t size() const;

private:
    struct Entry
    {
        Claim claim;
        bool abandoned = false;
        std::optional<ClaimOutcome> outcome;
    };

    using Entries = std::vector<Entry>;
    friend struct ApplyVisitor;

    const Entries *find(const std::string &key) const;
    Entry *find(const std::string &key, const std::string &claim);
    /// The state of a key as set by the entries in [first, last), for a claim that was made at claimedAt.
    static KeyStatus evaluate(Entries::const_iterator first, Entries::const_iterator last, WallTime claimedAt, WallTime now);

    std::unordered_map<std::string, Entries> m_keys;
    /// The expiry of abandoned claims by claim ID; the claim itself may be read later or never.
    std::unordered_map<std::string, WallTime> m_abandoned;
    std::size_t m_size = 0;
};
} // namespace Anvilcart
