#pragma once

#include "kernel/eventloops.h"
#include "kernel/time.h"
#include "model/endpoint.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Anvilcart
{
/// A run that a target has started. endedAt is TimePoint::max() while it is active.
struct WorkerRun
{
    std::string task;
    std::int64_t run = 0;
    TimePoint startedAt;
    TimePoint endedAt = TimePoint::max();
    std::string payload;
};

/// Stand-in for a target of the platform with fencing tokens, leases and lists of runs. A run lasts as many milliseconds as the job's
/// payload states; with the payload CrashPayload, it crashes the target. Thread-safe.
class WorkerStandin
{
public:
    static constexpr char CrashPayload[] = "crash";

    WorkerStandin(EventLoops &loops, const Endpoint &endpoint, std::string id);
    ~WorkerStandin();

    const Endpoint &endpoint() const;

    /// The record of this target in the store.
    std::string record(const std::string &service, const std::string &zone, std::int64_t milliCores, bool draining = false) const;

    /// Sets what registers the target again once it has restarted; called on one of the loops. Precondition: not set yet, no request came.
    void setRestartHandler(std::function<void(bool draining)> handler);

    /// While set, every run fails at its end.
    void setFailing(bool failing);

    /// Loses all state and answers nothing for some seconds; then it has restarted under the same id.
    void crash();

    /// Number of starts of each task since construction.
    std::map<std::string, std::size_t> starts() const;

    /// Every run since construction, in the order of their starts.
    std::vector<WorkerRun> runs() const;

    /// Number of times that a run started while another run of the same task was active on this target.
    std::size_t duplicateRuns() const;

private:
    struct Private;
    std::shared_ptr<Private> d;
};
} // namespace Anvilcart
