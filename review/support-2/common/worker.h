#pragma once

#include "kernel/eventloops.h"
#include "kernel/time.h"
#include "model/endpoint.h"
#include "record.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace Anvilcart::Review
{
/// What a worker registers of itself.
struct WorkerKind
{
    std::string service = "desk";
    /// Its first label.
    std::string label = "a";
    std::int64_t milliCores = 32000;
};

/// A run on a worker. endedAt is TimePoint::max() while it is active.
struct Run
{
    std::string task;
    std::int64_t number = 0;
    std::string spec;
    TimePoint startedAt;
    TimePoint endedAt = TimePoint::max();
    bool isDone = false;
};

/// A start order as it has come in.
struct StartOrder
{
    std::string task;
    std::int64_t run = 0;
    std::int64_t fencingToken = 0;
    std::int64_t deadlineMs = 0;
    std::string spec;
};

/// A worker that follows the users' pages: fencing tokens, leases, lists of runs. A run takes as many milliseconds as its spec says. It
/// may crash and start again under its id, and leave single orders unanswered to carry them out later. Thread-safe.
class Worker
{
public:
    using Registration = std::function<void(const std::string &entry)>;
    using LateOrders = std::function<bool(const StartOrder &order)>;
    /// kind has been registered since that long.
    using StartHandler = std::function<void(const StartOrder &order, const WorkerKind &kind, Duration registeredFor)>;

    /// registration writes the worker's entry to the store.
    Worker(EventLoops &loops,
           const Endpoint &endpoint,
           std::string id,
           std::string zone,
           const WorkerKind &kind,
           Record &record,
           Registration registration);
    ~Worker();

    const std::string &id() const;

    /// What it is in its present life.
    WorkerKind kind() const;

    /// Registers the worker, as it does at each start.
    void registerEntry();

    /// Says which start orders get no answer; each is kept until carryOutLate().
    void setLateOrders(LateOrders lateOrders);

    /// Called for each run that begins.
    void setStartHandler(StartHandler handler);

    /// Ends at once and loses everything.
    void crash();

    /// Starts again after a crash, as a worker of this kind, under the same id and at the same address.
    void restart(const WorkerKind &kind);

    /// Carries out the orders that were left unanswered.
    void carryOutLate();

    /// Every run so far.
    std::vector<Run> runs() const;

    /// The number of start orders so far.
    std::size_t startOrders() const;

private:
    struct Private;
    std::shared_ptr<Private> d;
};
} // namespace Anvilcart::Review
