#pragma once

#include "kernel/time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace Anvilcart::Fleet
{
/// A log line in logfmt: an event and its fields.
class LogLine
{
public:
    explicit LogLine(std::string_view event);

    LogLine &add(std::string_view key, std::string_view value);
    LogLine &add(std::string_view key, const char *value);
    LogLine &add(std::string_view key, std::uint64_t value);
    LogLine &add(std::string_view key, std::int64_t value);
    LogLine &add(std::string_view key, int value);
    /// Written in milliseconds with one decimal.
    LogLine &add(std::string_view key, Duration value);

    const std::string &event() const;
    const std::string &text() const;

private:
    std::string m_event;
    std::string m_text;
};

/// Selects the rate limit of a line.
enum class LogPriority {
    /// Has the lower limit, so it is dropped first.
    Routine,
    /// A request that was not served, or a change in what the process knows of its peers, targets or dependencies.
    Important,
};

/// Writes lines to a file descriptor without blocking and limits the rate of each event. Reports the number of dropped lines of each
/// event in a line of the event "lines_left_out". Not thread-safe.
class EventLog
{
public:
    /// Maximum number of lines per second of one event, by priority.
    struct RateLimits
    {
        std::uint32_t routine = 40;
        std::uint32_t important = 400;
    };

    EventLog(int descriptor, std::string host);
    EventLog(int descriptor, std::string host, RateLimits rateLimits);

    void write(const LogLine &line, LogPriority priority, TimePoint now);

    /// Writes buffered lines until the descriptor would block.
    void flush(TimePoint now);

    /// Number of lines dropped since construction.
    std::uint64_t droppedLines() const;

private:
    void startSecondIfDue(TimePoint now);
    void append(const std::string &text, TimePoint now);

    int m_descriptor;
    std::string m_host;
    RateLimits m_rateLimits;
    TimePoint m_startedAt;
    TimePoint m_secondStartedAt;
    std::map<std::string, std::uint32_t> m_writtenThisSecond;
    std::map<std::string, std::uint64_t> m_droppedThisSecond;
    std::uint64_t m_dropped = 0;
    std::string m_buffer;
};
} // namespace Anvilcart::Fleet
