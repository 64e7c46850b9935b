#pragma once

#include "gate.h"
#include "record.h"

#include "kernel/eventloops.h"
#include "kernel/time.h"
#include "model/endpoint.h"

#include <cstdint>
#include <memory>
#include <string>

namespace Review
{
/// What a worker says of itself in the store.
struct WorkerKind
{
    std::int64_t milliCores = 32000;
    /// The first label; the second one is the rack.
    std::string label = "a";
    std::string rack = "r1";
};

/// A worker that does not guard its capacity, behind a gate. The spec of a task is "RUN_MS MILLI_CORES". Follows the users' pages: fencing
/// tokens, leases of one second at most, lists of runs, a new clock and a new list after a restart. Thread-safe.
class Worker
{
public:
    Worker(Anvilcart::EventLoops &loops,
           const Anvilcart::Endpoint &endpoint,
           const Anvilcart::Endpoint &behindGate,
           std::string id,
           WorkerKind kind,
           Record &record);
    ~Worker();

    const std::string &id() const;

    /// The entry in the store, with this service and zone.
    std::string entry(const std::string &service, const std::string &zone) const;

    /// Loses power: whatever runs has ended, and nothing is answered.
    void powerOff();

    /// Starts again under the same id and at the same address, perhaps as another kind.
    void powerOn(const WorkerKind &kind);

    /// Leaves the next order to start a task of this job unanswered, and carries it out after this time, whatever happened since.
    void delayNextStartOf(const std::string &jobId, Anvilcart::Milliseconds delay);

    /// Orders to start that were accepted.
    std::size_t startCount() const;

    /// The same for the tasks of one job, and how many of them run.
    std::size_t startCountOf(const std::string &jobId) const;
    std::size_t runningCountOf(const std::string &jobId) const;

    /// Orders to start tasks with this spec that were accepted.
    std::size_t startCountWith(const std::string &spec) const;

private:
    struct Private;
    std::shared_ptr<Private> d;
    Gate m_gate;
};
} // namespace Review
