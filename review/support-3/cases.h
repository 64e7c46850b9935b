#pragma once

#include "record.h"

#include <string>

namespace Review
{
/// What a case needs. Without trouble it does the same without the disruption.
struct CaseContext
{
    std::string binary;
    bool hasTrouble = true;
    Record &record;
};

/// False when the case could not be played. Broken rules are in the record.
using Case = bool (*)(const CaseContext &context);

/// An idle worker loses power, and starts again as a smaller kind under its id, just before a large job comes.
bool playReturnOfSmallerWorker(const CaseContext &context);

/// An entry of another writer in the store names a service by a long text.
bool playLongNameInStore(const CaseContext &context);

/// Another writer writes an entry under the id of a worker, with a service that is not named, and drops it again.
bool playEntryOfAnotherWriter(const CaseContext &context);

/// A configuration removes or replaces the queue of a running job, and the job's caller cancels it.
bool playCancelledAfterRouteChange(const CaseContext &context);

/// A host stands still for less than half a second, in which a job is handed in there and cancelled at another host.
bool playCancelledBeforeRead(const CaseContext &context);

/// The host that dispatches is killed while a job runs there and one of another queue with its id waits.
bool playSameIdInTwoQueues(const CaseContext &context);

/// All hosts are killed after a job was cancelled, and a late copy of its request arrives when they run again.
bool playCancelledBeforeRestart(const CaseContext &context);

/// A start order is carried out late, after its dispatcher has been killed and its worker has lost power.
bool playLateOrderOfLostDispatcher(const CaseContext &context);
} // namespace Review
