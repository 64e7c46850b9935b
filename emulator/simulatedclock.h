#pragma once

#include "kernel/time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace Anvilcart::Emulation
{
/// Simulated time with a queue of events; time advances only from one event to the next. Not thread-safe.
class SimulatedClock
{
public:
    TimePoint now() const;

    /// Time since the start.
    Duration elapsed() const;

    /// Calls action after a delay; actions due at the same time run in the order in which they were added.
    void callAfter(Duration delay, std::function<void()> action);

    /// Runs every event that is due up to this time since the start.
    void runUntil(Duration end);

private:
    struct Event
    {
        TimePoint at;
        std::uint64_t sequence;
        std::function<void()> action;
    };

    struct Later
    {
        bool operator()(const Event &left, const Event &right) const;
    };

    // Well above zero, since a default TimePoint means "never" in the code under test.
    static constexpr TimePoint StartTime {std::chrono::hours(1)};

    TimePoint m_now = StartTime;
    std::uint64_t m_sequence = 0;
    std::priority_queue<Event, std::vector<Event>, Later> m_events;
};
} // namespace Anvilcart::Emulation
