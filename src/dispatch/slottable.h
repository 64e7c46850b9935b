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
/// The task limit of a target that is limited only by its slots.
constexpr std::uint32_t NoTaskLimit = std::numeric_limits<std::uint32_t>::max();

/// The slots of one target from the view of this host, which owns `share` slots. It may use those that it has not lent and those that it
/// has borrowed.
struct TargetSlots
{
    TargetSpec spec;
    std::uint32_t share = 0;
    std::uint32_t used = 0;
    /// The maximum number of tasks that the health of the target allows.
    std::uint32_t taskLimit = NoTaskLimit;
    std::uint32_t lent = 0;
    std::uint32_t borrowed = 0;
    bool configured = false;
    bool leaving = false;
    TimePoint reportedLeavingUntil;
    TimePoint pausedUntil;
    /// The length of the last pause after a refusal because no slot was free; zero after a start that was not refused.
    Duration noSlotPause {};

    /// Slots that this host currently holds: its own minus the lent ones, plus the borrowed ones.
    std::uint32_t held() const;

    /// Slots that this host may currently use, whether in use or not.
    std::uint32_t usable() const;

    /// Slots that this host may use and that are not in use.
    std::uint32_t free() const;
};

/// The slots of the zone's targets that this host may use, and how many are in use. Not thread-safe: used only on the decision loop.
class SlotTable
{
public:
    /// Sets the targets of an availability zone. Removed targets keep their index and receive no new tasks.
    /// Returns the indices of all configured targets of the zone.
    std::vector<TargetIndex> applyTargets(const std::vector<TargetSpec> &targets, const std::string &zone);

    /// Recomputes this host's share of each target and sets the placement for the kind of slot sharing.
    void applyMembers(const std::vector<std::string> &members, const std::string &self, SlotSharingKind sharing);

    /// Marks exactly these targets as leaving; all others are unmarked.
    void applyLeaving(const std::unordered_set<std::string> &names);

    /// Lets the placement choose among the targets that have a free slot and fit the size. Returns nothing if there are none.
    std::optional<TargetIndex> pick(const TaskSize &size, TimePoint now);

    /// True if a task of this size fits any configured target, whether or not a slot is free.
    bool everFits(const TaskSize &size) const;

    /// Marks a slot as used. Precondition: pick() returned the target.
    void occupy(TargetIndex target);

    /// Releases a used slot. Precondition: occupy() was called for it.
    void release(TargetIndex target);

    /// The least used target in service that has a free slot owned by this host, or nothing.
    std::optional<TargetIndex> pickToLend(TimePoint now) const;

    /// The configured target with this name, or nothing.
    std::optional<TargetIndex> find(const std::string &name) const;

    /// Marks a free slot as lent. Precondition: pickToLend() returned the target.
    void lend(TargetIndex target);

    /// Takes back a lent slot. Precondition: lend() was called for it.
    void reclaim(TargetIndex target);

    /// Adds a slot that a peer lent to this host.
    void borrow(TargetIndex target);

    /// Returns a borrowed slot. Precondition: borrow() was called for it.
    void returnBorrowed(TargetIndex target);

    /// Excludes the target from new tasks until this time.
    void pause(TargetIndex target, TimePoint until);

    /// Pauses a target that was full although this host counted a free slot. The pause doubles each time.
    void pauseAfterNoSlot(TargetIndex target, TimePoint now);

    /// Resets the pause after a task has started at the target: the next pause is the shortest again.
    void resetNoSlotPause(TargetIndex target);

    /// Limits the tasks of this host at the target; NoTaskLimit removes the limit.
    void limitTasks(TargetIndex target, std::uint32_t tasks);

    /// Marks a target as leaving until this time because the target itself said so; the host list may lag behind.
    void markReportedLeaving(TargetIndex target, TimePoint until);

    /// Free slots of this host at all targets in service, including borrowed ones.
    std::uint32_t freeSlots(TimePoint now) const;

    /// Slots of this host at targets that are in service, free or not.
    std::uint32_t servingSlots(TimePoint now) const;

    /// Slots of all hosts at targets that are configured and not leaving.
    std::uint32_t zoneSlots() const;

    /// Slots of this host at all configured targets.
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
