#pragma once

#include "dispatch/interfaces/targetport.h"
#include "kernel/time.h"

namespace Anvilcart
{
class JobQueue;
class SlotTable;

/// What slot sharing sees of the dispatcher during one call.
struct SharingView
{
    SlotTable &slots;
    const JobQueue &queue;
    bool mayLend;
    TimePoint now;
};

/// Moves free slots between the entry hosts of an availability zone. Called on the decision loop; must not call the dispatcher back.
class SlotSharing
{
public:
    virtual ~SlotSharing() = default;

    /// A task of this host gave its slot at the target back.
    virtual void onSlotReleased(const SharingView &view, TargetIndex target) = 0;

    /// Tasks are about to start: slots that a peer needs more may go first.
    virtual void lendBeforeStarts(const SharingView &view) = 0;

    /// Every task that can start here has started: what is still free may be lent or go home.
    virtual void settleAfterStarts(const SharingView &view) = 0;
};
} // namespace Anvilcart
