#include "claims/claimtable.h"

#include <algorithm>

namespace Anvilcart
{
namespace
{
/// Longer than a claimant waits to read its claim back, so that no claim is pruned that still decides whether another is granted.
constexpr Seconds PruneDelay {60};

bool isUnexpired(const Claim &claim, WallTime at)
{
    return at < claim.expiresAt;
}

KeyState stateOf(const ClaimOutcome &outcome)
{
    switch (outcome.kind) {
    case ClaimOutcomeKind::Finished:
        return KeyState::Finished;
    case ClaimOutcomeKind::Failed:
        return KeyState::Failed;
    case ClaimOutcomeKind::FinishedWithoutOutput:
        return KeyState::MayHaveRun;
    }
    return KeyState::MayHaveRun;
}
} // namespace

/// Applies each kind of record.
struct ApplyVisitor
{
    ClaimTable &table;

    void operator()(const Claim &claim) const
    {
        if (table.find(claim.key, claim.id) != nullptr) {
            return;
        }
        table.m_keys[claim.key].push_back({claim, table.m_abandoned.contains(claim.id), std::nullopt});
        ++table.m_size;
    }

    void operator()(const Abandonment &abandonment) const
    {
        table.m_abandoned[abandonment.claim] = abandonment.expiresAt;
        if (auto *entry = table.find(abandonment.key, abandonment.claim)) {
            entry->abandoned = true;
        }
    }

    void operator()(const ClaimOutcome &outcome) const
    {
        auto *entry = table.find(outcome.key, outcome.claim);
        if (entry != nullptr && !entry->outcome) {
            entry->outcome = outcome;
        }
    }
};

void ClaimTable::apply(const ClaimRecord &record)
{
    std::visit(ApplyVisitor {*this}, record);
}

bool ClaimTable::contains(const std::string &key, const std::string &claim) const
{
    const auto *entries = find(key);
    return entries != nullptr && std::any_of(entries->begin(), entries->end(), [&](const Entry &entry) {
               return entry.claim.id == claim;
           });
}

bool ClaimTable::isGranted(const std::string &key, const std::string &claim) const
{
    const auto *entries = find(key);
    if (entries == nullptr) {
        return false;
    }
    for (auto entry = entries->begin(); entry != entries->end(); ++entry) {
        if (entry->claim.id == claim) {
            const auto claimedAt = entry->claim.claimedAt;
            return !entry->abandoned && evaluate(entries->begin(), entry, claimedAt, claimedAt).state == KeyState::Free;
        }
    }
    return false;
}

KeyStatus ClaimTable::conflictOf(const std::string &key, const std::string &claim, WallTime now) const
{
    const auto *entries = find(key);
    if (entries == nullptr) {
        return {};
    }
    const auto own = std::find_if(entries->begin(), entries->end(), [&](const Entry &entry) {
        return entry.claim.id == claim;
    });
    if (own == entries->end()) {
        return {};
    }
    return evaluate(entries->begin(), own, own->claim.claimedAt, now);
}

KeyStatus ClaimTable::keyStatus(const std::string &key, WallTime now) const
{
    const auto *entries = find(key);
    return entries != nullptr ? evaluate(entries->begin(), entries->end(), now, now) : KeyStatus();
}

void ClaimTable::prune(WallTime now)
{
    const auto before = now - PruneDelay;
    for (auto key = m_keys.begin(); key != m_keys.end();) {
        auto &entries = key->second;
        m_size -= std::erase_if(entries, [&](const Entry &entry) {
            return !isUnexpired(entry.claim, before);
        });
        key = entries.empty() ? m_keys.erase(key) : std::next(key);
    }
    std::erase_if(m_abandoned, [&](const auto &abandoned) {
        return abandoned.second <= before;
    });
}

std::size_t ClaimTable::size() const
{
    return m_size;
}

const ClaimTable::Entries *ClaimTable::find(const std::string &key) const
{
    const auto found = m_keys.find(key);
    return found != m_keys.end() ? &found->second : nullptr;
}

ClaimTable::Entry *ClaimTable::find(const std::string &key, const std::string &claim)
{
    const auto found = m_keys.find(key);
    if (found == m_keys.end()) {
        return nullptr;
    }
    for (auto &entry : found->second) {
        if (entry.claim.id == claim) {
            return &entry;
        }
    }
    return nullptr;
}

KeyStatus ClaimTable::evaluate(Entries::const_iterator first, Entries::const_iterator last, WallTime claimedAt, WallTime now)
{
    KeyStatus status;
    for (auto entry = first; entry != last; ++entry) {
        if (entry->abandoned || !isUnexpired(entry->claim, claimedAt)) {
            continue;
        }
        if (entry->outcome) {
            return {stateOf(*entry->outcome), entry->outcome->text, entry->claim.host};
        }
        const auto state = now < entry->claim.endsBy ? KeyState::InProgress : KeyState::MayHaveRun;
        if (status.state < state) {
            status = {state, "", entry->claim.host};
        }
    }
    return status;
}
} // namespace Anvilcart
