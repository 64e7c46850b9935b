#include "emulator/simulatedclock.h"

#include <algorithm>
#include <utility>

namespace Anvilcart::Emulation
{
bool SimulatedClock::Later::operator()(const Event &left, const Event &right) const
{
    return left.at != right.at ? left.at > right.at : left.sequence > right.sequence;
}

TimePoint SimulatedClock::now() const
{
    return m_now;
}

Duration SimulatedClock::elapsed() const
{
    return m_now - StartTime;
}

void SimulatedClock::callAfter(Duration delay, std::function<void()> action)
{
    m_events.push({m_now + std::max(delay, Duration(0)), m_sequence++, std::move(action)});
}

void SimulatedClock::runUntil(Duration end)
{
    while (!m_events.empty() && m_events.top().at <= StartTime + end) {
        auto event = m_events.top();
        m_events.pop();
        m_now = event.at;
        event.action();
    }
    m_now = StartTime + end;
}
} // namespace Anvilcart::Emulation
