#pragma once

#include "dispatch/interfaces/targetport.h"
#include "kernel/time.h"

namespace Anvilcart
{
class JobQueue;
class SlotTable;

/// The dispatcher's state that is passed to slot sharing. Valid during the call only.
struct SharingView
{
    SlotTable &slots;
    const JobQueue &queue;
    bool mayLend;
    TimePoint now;
};

/// Moves free slots between the entry hosts of an availability zone. Called on the decision loop; must not call the dispatcher.
class SlotSharing
{
public:
    virtual ~SlotSharing() = default;

    /// A task of this host ended and released its slot at the target.
    virtual void onSlotReleased(const SharingView &view, TargetIndex target) = 0;

    /// Called before tasks are started. Slots that a peer needs more may be lent to it.
    virtual void lendBeforeStarts(const SharingView &view) = 0;

    /// Called after all tasks that can start on this host have started. Slots that are still free may be lent or returned.
    virtual void redistributeAfterStarts(const SharingView &view) = 0;
};
} // namespace Anvilcart
