#include "hostruntime/eventlog.h"

#include <cstdio>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace Anvilcart::Fleet
{
namespace
{
/// Limit of the buffer for a slow reader; holds about 2,000 lines.
constexpr std::size_t MaxBufferedBytes = 256 * 1024;
/// Callers choose some values, and a buffer of long lines leaves out the others.
constexpr std::size_t MaxValueBytes = 1024;
/// A pipe that polls as writable accepts PIPE_BUF bytes without blocking.
constexpr std::size_t ChunkBytes = 4096;

std::string formatMs(Duration value)
{
    char text[32];
    std::snprintf(text, sizeof(text), "%.1f", toMilliseconds(value));
    return text;
}
} // namespace

LogLine::LogLine(std::string_view event)
    : m_event(event)
{
    m_text = "event=" + m_event;
}

LogLine &LogLine::add(std::string_view key, std::string_view value)
{
    const bool isShortened = value.size() > MaxValueBytes;
    value = value.substr(0, MaxValueBytes);
    m_text += ' ';
    m_text += key;
    m_text += '=';
    const bool unquoted = !value.empty() && value.find_first_of(" \"=\n") == std::string_view::npos;
    if (unquoted) {
        m_text += value;
        m_text += isShortened ? "..." : "";
        return *this;
    }
    m_text += '"';
    for (const char character : value) {
        if (character == '"' || character == '\\') {
            m_text += '\\';
        }
        m_text += character == '\n' ? ' ' : character;
    }
    m_text += isShortened ? "...\"" : "\"";
    return *this;
}

LogLine &LogLine::add(std::string_view key, const char *value)
{
    return add(key, std::string_view(value));
}

LogLine &LogLine::add(std::string_view key, std::uint64_t value)
{
    return add(key, std::string_view(std::to_string(value)));
}

LogLine &LogLine::add(std::string_view key, std::int64_t value)
{
    return add(key, std::string_view(std::to_string(value)));
}

LogLine &LogLine::add(std::string_view key, int value)
{
    return add(key, static_cast<std::int64_t>(value));
}

LogLine &LogLine::add(std::string_view key, Duration value)
{
    return add(key, std::string_view(formatMs(value)));
}

const std::string &LogLine::event() const
{
    return m_event;
}

const std::string &LogLine::text() const
{
    return m_text;
}

EventLog::EventLog(int descriptor, std::string host)
    : EventLog(descriptor, std::move(host), RateLimits())
{
}

EventLog::EventLog(int descriptor, std::string host, RateLimits rateLimits)
    : m_descriptor(descriptor)
    , m_host(std::move(host))
    , m_rateLimits(rateLimits)
{
}

void EventLog::write(const LogLine &line, LogPriority priority, TimePoint now)
{
    startSecondIfDue(now);
    const auto limit = priority == LogPriority::Routine ? m_rateLimits.routine : m_rateLimits.important;
    auto &written = m_writtenThisSecond[line.event()];
    if (written >= limit || m_buffer.size() > MaxBufferedBytes) {
        ++m_droppedThisSecond[line.event()];
        ++m_dropped;
        return;
    }
    ++written;
    append(line.text(), now);
}

void EventLog::startSecondIfDue(TimePoint now)
{
    if (m_startedAt == TimePoint()) {
        m_startedAt = m_secondStartedAt = now;
    }
    if (now - m_secondStartedAt < Seconds(1)) {
        return;
    }
    m_secondStartedAt = now;
    m_writtenThisSecond.clear();
    for (const auto &[event, count] : std::exchange(m_droppedThisSecond, {})) {
        append(LogLine("lines_left_out").add("of", event).add("count", count).text(), now);
    }
}

void EventLog::append(const std::string &text, TimePoint now)
{
    char uptime[32];
    std::snprintf(uptime, sizeof(uptime), "up=%.3f", toMilliseconds(now - m_startedAt) / 1000);
    m_buffer += uptime;
    m_buffer += " host=" + m_host + ' ' + text + '\n';
}

void EventLog::flush(TimePoint now)
{
    startSecondIfDue(now);
    while (!m_buffer.empty()) {
        pollfd pollDescriptor {m_descriptor, POLLOUT, 0};
        if (::poll(&pollDescriptor, 1, 0) != 1 || (pollDescriptor.revents & POLLOUT) == 0) {
            return;
        }
        const auto count = ::write(m_descriptor, m_buffer.data(), std::min(m_buffer.size(), ChunkBytes));
        if (count <= 0) {
            return;
        }
        m_buffer.erase(0, static_cast<std::size_t>(count));
    }
}

std::uint64_t EventLog::droppedLines() const
{
    return m_dropped;
}
} // namespace Anvilcart::Fleet
