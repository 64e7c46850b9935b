#pragma once

#include <iosfwd>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace Anvilcart
{
/// One line of a host's log.
struct LoggedEvent
{
    std::string host;
    std::string event;
    /// Without host and event.
    std::map<std::string, std::string> fields;
    /// As written, from the host on.
    std::string text;
};

/// Reads a line in logfmt; whatever a collector wrote before it is passed over. Nothing when it has no host or no event. Thread-safe.
std::optional<LoggedEvent> parseLogLine(std::string_view line);

/// Why a request ended as it did, from the lines of all hosts. Keeps the lines of one request and the last usage of each host, whatever
/// the size of the logs. Not thread-safe.
class RequestExplanation
{
public:
    explicit RequestExplanation(std::string requestId);

    /// Reads lines to the end of the stream, in the order of their time.
    void read(std::istream &lines);

    /// True when a line names the request.
    bool isKnown() const;

    /// The lines of the request, then its cause in one sentence each.
    std::string text() const;

    /// What happened, one sentence each, the outcome first.
    std::vector<std::string> causes() const;

private:
    struct Step
    {
        LoggedEvent line;
        /// The last usage line of that host before it.
        std::string usage;
        /// Hosts and targets that fell silent or were lost shortly before, as their lines tell.
        std::vector<std::string> losses;
    };

    bool concerns(const LoggedEvent &line) const;
    const Step *last(std::string_view event) const;
    double largest(std::string_view event, const std::string &field) const;
    std::vector<std::string> causesOfRefusal(const Step &answered) const;
    std::vector<std::string> causesOfDelay(const Step &answered) const;

    std::string m_requestId;
    std::vector<Step> m_steps;
    std::map<std::string, std::string> m_usageOfHost;
    std::vector<std::string> m_recentLosses;
    /// The entry host started anew after it had taken the request.
    bool m_entryHostRestarted = false;
};
} // namespace Anvilcart
