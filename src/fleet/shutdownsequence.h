#pragma once

#include "kernel/time.h"

#include <cstddef>

namespace Anvilcart::Fleet
{
/// What a stopping process does next.
enum class ShutdownStep {
    Serve,
    /// Abandon the remaining jobs and refuse those that still come.
    AbandonJobs,
    End,
};

/// What keeps a stopping process from ending.
struct RemainingWork
{
    /// No caller waits, and no run and no job is left.
    bool nodeIsIdle = false;
    /// Requests of which a byte was read and whose answers are not written yet.
    std::size_t requestsInFlight = 0;
};

/// Decides when a process that was told to stop abandons its jobs and when it ends. It ends only when every request that it has read is
/// answered, or just before the platform kills it. Not thread-safe.
class ShutdownSequence
{
public:
    /// Only the first call counts.
    void begin(TimePoint now);
    bool hasBegun() const;

    /// The next step. gracePeriod is the time from the stop signal until the platform kills the process. Returns AbandonJobs once, and
    /// End once.
    ShutdownStep next(const RemainingWork &work, Duration gracePeriod, TimePoint now);

private:
    TimePoint m_begunAt;
    bool m_jobsAbandoned = false;
    bool m_ended = false;
};
} // namespace Anvilcart::Fleet
