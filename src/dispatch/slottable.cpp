#include "dispatch/slottable.h"

#include "dispatch/capacityclasses.h"
#include "dispatch/slotshares.h"

#include <algorithm>

namespace Anvilcart
{
namespace
{
constexpr Milliseconds MinNoSlotPause {5};
constexpr Milliseconds MaxNoSlotPause {320};

/// Compares the ratios of used to usable slots by cross-multiplication, which needs no division.
bool isLessUsed(const TargetSlots &left, const TargetSlots &right)
{
    return static_cast<std::uint64_t>(left.used) * right.usable() < static_cast<std::uint64_t>(right.used) * left.usable();
}
} // namespace

std::uint32_t TargetSlots::usable() const
{
    return std::min(held(), taskLimit);
}

std::uint32_t TargetSlots::held() const
{
    const auto limit = share + borrowed;
    return limit > lent ? limit - lent : 0;
}

std::uint32_t TargetSlots::free() const
{
    const auto limit = usable();
    return limit > used ? limit - used : 0;
}

std::vector<TargetIndex> SlotTable::applyTargets(const std::vector<TargetSpec> &targets, const std::string &zone)
{
    for (auto &target : m_targets) {
        target.configured = false;
    }
    std::vector<TargetIndex> configured;
    for (const auto &spec : targets) {
        if (spec.zone != zone) {
            continue;
        }
        // A target with a new address gets a new index, so that nothing is sent to the old address under its name.
        const auto key = spec.name + "@" + toString(spec.endpoint);
        const auto [found, inserted] = m_byName.emplace(key, static_cast<TargetIndex>(m_targets.size()));
        if (inserted) {
            m_targets.emplace_back();
        }
        auto &target = m_targets[found->second];
        target.spec = spec;
        target.configured = true;
        configured.push_back(found->second);
    }
    return configured;
}

void SlotTable::applyMembers(const std::vector<std::string> &members, const std::string &self, SlotSharingKind sharing)
{
    m_placement = makePlacement(sharing, self);
    for (auto &target : m_targets) {
        const bool ownsAllSlots = sharing == SlotSharingKind::BlindPush || members.empty();
        target.share = ownsAllSlots ? target.spec.slots : slotShare(target.spec.name, target.spec.slots, members, self);
    }
}

void SlotTable::applyLeaving(const std::unordered_set<std::string> &names)
{
    for (auto &target : m_targets) {
        target.leaving = names.contains(target.spec.name);
    }
}

std::optional<TargetIndex> SlotTable::pick(const TaskSize &size, TimePoint now)
{
    m_candidates.clear();
    for (TargetIndex i = 0; i < m_targets.size(); ++i) {
        const auto &target = m_targets[i];
        if (target.free() > 0 && isInService(target, now) && fits(size, target.spec.capacity)) {
            m_candidates.push_back({i, target.used, target.usable()});
        }
    }
    return m_candidates.empty() ? std::nullopt : std::optional(choose(m_placement, m_candidates));
}

bool SlotTable::everFits(const TaskSize &size) const
{
    return std::any_of(m_targets.begin(), m_targets.end(), [&](const TargetSlots &target) {
        return target.configured && fits(size, target.spec.capacity);
    });
}

void SlotTable::occupy(TargetIndex target)
{
    ++m_targets[target].used;
}

void SlotTable::release(TargetIndex target)
{
    --m_targets[target].used;
}

std::optional<TargetIndex> SlotTable::pickToLend(TimePoint now) const
{
    std::optional<TargetIndex> best;
    for (TargetIndex i = 0; i < m_targets.size(); ++i) {
        const auto &target = m_targets[i];
        if (target.free() <= target.borrowed || !isInService(target, now)) {
            continue;
        }
        if (!best || isLessUsed(target, m_targets[*best])) {
            best = i;
        }
    }
    return best;
}

std::optional<TargetIndex> SlotTable::find(const std::string &name) const
{
    for (TargetIndex i = 0; i < m_targets.size(); ++i) {
        if (m_targets[i].configured && m_targets[i].spec.name == name) {
            return i;
        }
    }
    return std::nullopt;
}

void SlotTable::lend(TargetIndex target)
{
    ++m_targets[target].lent;
}

void SlotTable::reclaim(TargetIndex target)
{
    --m_targets[target].lent;
}

void SlotTable::borrow(TargetIndex target)
{
    ++m_targets[target].borrowed;
}

void SlotTable::returnBorrowed(TargetIndex target)
{
    --m_targets[target].borrowed;
}

void SlotTable::pause(TargetIndex target, TimePoint until)
{
    m_targets[target].pausedUntil = std::max(m_targets[target].pausedUntil, until);
}

void SlotTable::pauseAfterNoSlot(TargetIndex target, TimePoint now)
{
    auto &slots = m_targets[target];
    // Refusals of tasks that were sent at the same time count once.
    if (slots.pausedUntil > now) {
        return;
    }
    slots.noSlotPause = std::clamp<Duration>(slots.noSlotPause * 2, MinNoSlotPause, MaxNoSlotPause);
    slots.pausedUntil = now + slots.noSlotPause;
}

void SlotTable::resetNoSlotPause(TargetIndex target)
{
    m_targets[target].noSlotPause = Duration::zero();
}

void SlotTable::limitTasks(TargetIndex target, std::uint32_t tasks)
{
    m_targets[target].taskLimit = tasks;
}

void SlotTable::markReportedLeaving(TargetIndex target, TimePoint until)
{
    m_targets[target].reportedLeavingUntil = until;
}

std::uint32_t SlotTable::freeSlots(TimePoint now) const
{
    std::uint32_t free = 0;
    for (const auto &target : m_targets) {
        if (isInService(target, now)) {
            free += target.free();
        }
    }
    return free;
}

std::uint32_t SlotTable::servingSlots(TimePoint now) const
{
    std::uint32_t slots = 0;
    for (const auto &target : m_targets) {
        slots += isInService(target, now) ? std::min(target.share, target.taskLimit) : 0;
    }
    return slots;
}

std::uint32_t SlotTable::zoneSlots() const
{
    std::uint32_t slots = 0;
    for (const auto &target : m_targets) {
        slots += target.configured && !target.leaving ? target.spec.slots : 0;
    }
    return slots;
}

std::uint32_t SlotTable::ownSlots() const
{
    std::uint32_t slots = 0;
    for (const auto &target : m_targets) {
        slots += target.configured ? target.share : 0;
    }
    return slots;
}

const TargetSlots &SlotTable::at(TargetIndex target) const
{
    return m_targets[target];
}

std::size_t SlotTable::size() const
{
    return m_targets.size();
}

bool SlotTable::isInService(const TargetSlots &target, TimePoint now) const
{
    return target.configured && !target.leaving && target.reportedLeavingUntil <= now && target.pausedUntil <= now;
}
} // namespace Anvilcart
