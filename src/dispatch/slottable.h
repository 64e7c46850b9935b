#pragma once

#include "config/configuration.h"
#include "dispatch/interfaces/targetport.h"
#include "dispatch/placement.h"
#include "kernel/time.h"

#include <limits>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace Anvilcart
{
/// No limit but the slots.
constexpr std::uint32_t NoTaskLimit = std::numeric_limits<std::uint32_t>::max();

/// One target as this host sees it. `share` slots are this host's own; it may use those that it has not lent, and those that it borrowed.
struct TargetSlots
{
    TargetSpec spec;
    std::uint32_t share = 0;
    std::uint32_t used = 0;
    /// The most tasks that the target's health allows.
    std::uint32_t taskLimit = NoTaskLimit;
    std::uint32_t lent = 0;
    std::uint32_t borrowed = 0;
    bool configured = false;
    bool leaving = false;
    TimePoint saidLeavingUntil;
    TimePoint pausedUntil;
    /// The length of the last pause for want of a slot; zero after a start that was not refused.
    Duration fullPause {};

    /// Slots that are this host's for now: its own less those lent, and borrowed ones.
    std::uint32_t held() const;

    /// Slots that this host may use now, in use or not.
    std::uint32_t usable() const;

    /// Slots that this host may use and does not use.
    std::uint32_t free() const;
};

/// The slots of the zone's targets that this host may use, and which are in use. Not thread-safe: the decision loop's.
class SlotTable
{
public:
    /// Takes over the targets of one availability zone; targets that are gone keep their index and get nothing new.
    /// Returns the indices that are new or changed.
    std::vector<TargetIndex> applyTargets(const std::vector<TargetSpec> &targets, const std::string &zone);

    /// Computes this host's share of each target anew; also sets the placement that belongs to the way of sharing.
    void applyMembers(const std::vector<std::string> &members, const std::string &self, SlotSharingKind sharing);

    /// Marks exactly these targets as leaving.
    void applyLeaving(const std::unordered_set<std::string> &names);

    /// The target with a free slot that fits the size and that the placement chooses, or nothing.
    std::optional<TargetIndex> pick(const TaskSize &size, TimePoint now);

    /// True where some target could ever hold a task of this size.
    bool everFits(const TaskSize &size) const;

    /// Takes a slot. Precondition: pick() returned the target.
    void take(TargetIndex target);

    /// Gives a slot back. Precondition: it was taken.
    void release(TargetIndex target);

    /// The least used target in service with a free slot of this host's own, or nothing.
    std::optional<TargetIndex> pickToLend(TimePoint now) const;

    /// The configured target with this name, or nothing.
    std::optional<TargetIndex> find(const std::string &name) const;

    /// Marks a free slot as lent. Precondition: pickToLend() returned the target.
    void lend(TargetIndex target);

    /// Takes a lent slot home. Precondition: lend() was called for it.
    void reclaim(TargetIndex target);

    /// Adds a slot that a peer lent to this host.
    void borrow(TargetIndex target);

    /// Gives a borrowed slot up. Precondition: borrow() was called for it.
    void returnBorrowed(TargetIndex target);

    /// Gives the target no new task until then.
    void pause(TargetIndex target, TimePoint until);

    /// The target was full although this host believed in a free slot: it gets nothing for a pause that doubles each time.
    void pauseFull(TargetIndex target, TimePoint now);

    /// The target started a task: its next pause for want of a slot is short again.
    void forgetFullPause(TargetIndex target);

    /// Lets the target hold at most so many tasks of this host; NoTaskLimit lifts the limit.
    void limitTasks(TargetIndex target, std::uint32_t tasks);

    /// Marks a target as leaving on its own word, whatever the lagging host list says of it until then.
    void markLeaving(TargetIndex target, TimePoint until);

    /// Free slots of this host over all targets in service, borrowed ones included.
    std::uint32_t freeSlots(TimePoint now) const;

    /// Slots of this host at targets that are in service, free or not.
    std::uint32_t servingSlots(TimePoint now) const;

    /// Slots of all hosts at targets that are configured and not leaving.
    std::uint32_t zoneSlots() const;

    /// Slots of this host over all configured targets.
    std::uint32_t ownSlots() const;

    const TargetSlots &at(TargetIndex target) const;
    std::size_t size() const;

private:
    bool isInService(const TargetSlots &target, TimePoint now) const;

    std::vector<TargetSlots> m_targets;
    Placement m_placement;
    std::vector<PlacementCandidate> m_candidates;
    std::unordered_map<std::string, TargetIndex> m_byName;
};
} // namespace Anvilcart
