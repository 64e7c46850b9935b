#pragma once

#include "claims/claimrecord.h"

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace Anvilcart
{
/// What a key's claims say to whoever wants to start its task.
enum class KeyState {
    /// Nothing stands in the way.
    Free,
    /// Another submission holds a claim and may still be working on it.
    InProgress,
    /// A claim was left without an outcome: its task may have run.
    MayHaveRun,
    /// The task ran and gave an output.
    Finished,
    /// The task ran and failed.
    Failed,
};

/// The state of one key, with the output or the message where there is one.
struct KeyStanding
{
    KeyState state = KeyState::Free;
    std::string text;
    /// The host of the claim that stands in the way.
    std::string host;
};

/// Decides who may start the task of a key. Readers that apply the same records in the order of the log decide alike;
/// one that starts after old records are gone decides alike for every claim that was made since it was up to date.
/// Not thread-safe.
class ClaimTable
{
public:
    /// Applies the next record of the log. A claim that comes twice keeps its first place.
    void apply(const ClaimRecord &record);

    /// True from when the claim was read in the log until it was pruned.
    bool contains(const std::string &key, const std::string &claim) const;

    /// True where the claim is the first live one on its key: it was read, was not abandoned, and every claim before it
    /// was abandoned or had expired when it was made. A claimant asks once, when it reads its claim back.
    bool isGranted(const std::string &key, const std::string &claim) const;

    /// What stands in the way of a claim that was read; Free when it is granted or unknown.
    KeyStanding obstacle(const std::string &key, const std::string &claim, WallTime now) const;

    /// What would stand in the way of a claim that is made now.
    KeyStanding standing(const std::string &key, WallTime now) const;

    /// Forgets what has been expired for long enough that no claim which could still be granted refers to it.
    void prune(WallTime now);

    /// The number of claims that are kept.
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
    static KeyStanding judge(Entries::const_iterator first, Entries::const_iterator last, WallTime madeAt, WallTime now);

    std::unordered_map<std::string, Entries> m_keys;
    /// Abandonments, by claim, until the claim would have expired; the claim itself may come later or never.
    std::unordered_map<std::string, WallTime> m_abandoned;
    std::size_t m_size = 0;
};
} // namespace Anvilcart
