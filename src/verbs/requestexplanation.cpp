#include "verbs/requestexplanation.h"

#include <boost/lexical_cast/try_lexical_convert.hpp>

#include <algorithm>
#include <istream>
#include <set>
#include <utility>

namespace Anvilcart
{
namespace
{
/// Losses before a line that are shown with it; a cut zone takes some dozens of targets with it.
constexpr std::size_t ShownLosses = 4;
/// A request that waited for more than this share of its response time waited rather than ran.
constexpr double WaitedShare = 0.5;

/// The next value of a logfmt line, and where it ends.
std::pair<std::string, std::size_t> readValue(std::string_view line, std::size_t begin)
{
    std::string value;
    if (begin < line.size() && line[begin] == '"') {
        std::size_t position = begin + 1;
        while (position < line.size() && line[position] != '"') {
            position += line[position] == '\\' ? 1 : 0;
            if (position < line.size()) {
                value += line[position++];
            }
        }
        return {value, std::min(position + 1, line.size())};
    }
    const auto end = std::min(line.find(' ', begin), line.size());
    return {std::string(line.substr(begin, end - begin)), end};
}

double numberOf(const LoggedEvent &line, const std::string &field)
{
    const auto found = line.fields.find(field);
    double number = 0;
    return found != line.fields.end() && boost::conversion::try_lexical_convert(found->second, number) ? number : 0;
}

std::string textOf(const LoggedEvent &line, const std::string &field)
{
    const auto found = line.fields.find(field);
    return found == line.fields.end() ? std::string("?") : found->second;
}

std::string milliseconds(double number)
{
    return std::to_string(static_cast<long>(number)) + " ms";
}

bool isLoss(const std::string &event)
{
    static const std::set<std::string> Losses {
        "host_silent", "target_silent", "target_taken", "target_ejected", "time_gap", "dependency_lost"};
    return Losses.contains(event);
}
} // namespace

std::optional<LoggedEvent> parseLogLine(std::string_view line)
{
    const auto begin = line.find("host=");
    if (begin == std::string_view::npos) {
        return std::nullopt;
    }
    LoggedEvent parsed;
    parsed.text = std::string(line.substr(begin));
    std::size_t position = begin;
    while (position < line.size()) {
        const auto equals = line.find('=', position);
        if (equals == std::string_view::npos) {
            break;
        }
        const std::string key(line.substr(position, equals - position));
        auto [value, end] = readValue(line, equals + 1);
        parsed.fields[key] = std::move(value);
        position = std::min(line.find_first_not_of(' ', end), line.size());
    }
    parsed.host = std::exchange(parsed.fields["host"], {});
    parsed.event = std::exchange(parsed.fields["event"], {});
    parsed.fields.erase("host");
    parsed.fields.erase("event");
    if (parsed.event.empty()) {
        return std::nullopt;
    }
    return parsed;
}

RequestExplanation::RequestExplanation(std::string requestId)
    : m_requestId(std::move(requestId))
{
}

bool RequestExplanation::concerns(const LoggedEvent &line) const
{
    const auto job = line.fields.find("job");
    const auto run = line.fields.find("run");
    return (job != line.fields.end() && job->second == m_requestId)
        || (run != line.fields.end() && run->second.starts_with(m_requestId + "/"));
}

void RequestExplanation::read(std::istream &lines)
{
    std::string text;
    while (std::getline(lines, text)) {
        auto line = parseLogLine(text);
        if (!line) {
            continue;
        }
        if (line->event == "usage") {
            m_usageOfHost[line->host] = line->text;
        } else if (isLoss(line->event)) {
            m_recentLosses.push_back(line->text);
            if (m_recentLosses.size() > ShownLosses) {
                m_recentLosses.erase(m_recentLosses.begin());
            }
        } else if (concerns(*line)) {
            const auto usage = m_usageOfHost[line->host];
            m_steps.push_back({std::move(*line), usage, m_recentLosses});
        }
        const auto *sent = last("job_sent");
        const bool restarted = line->event == "start" && line->fields.contains("door");
        m_entryHostRestarted = m_entryHostRestarted || (restarted && sent != nullptr && sent->line.host == line->host);
    }
}

bool RequestExplanation::isKnown() const
{
    return !m_steps.empty();
}

const RequestExplanation::Step *RequestExplanation::last(std::string_view event) const
{
    const auto found = std::find_if(m_steps.rbegin(), m_steps.rend(), [event](const Step &step) {
        return step.line.event == event;
    });
    return found == m_steps.rend() ? nullptr : &*found;
}

double RequestExplanation::largest(std::string_view event, const std::string &field) const
{
    double number = 0;
    for (const auto &step : m_steps) {
        number = step.line.event == event ? std::max(number, numberOf(step.line, field)) : number;
    }
    return number;
}

std::vector<std::string> RequestExplanation::causesOfRefusal(const Step &answered) const
{
    const auto reason = textOf(answered.line, "reason");
    std::vector<std::string> causes {"It was refused after " + milliseconds(numberOf(answered.line, "response_ms"))
                                     + " and has not run: " + reason + "."};
    if (const auto *late = last("late_job_refused")) {
        causes.push_back("It had waited " + milliseconds(numberOf(late->line, "waited_ms"))
                         + " and could no longer meet its objective, while " + textOf(late->line, "forecast_to_miss")
                         + " other jobs were forecast to miss theirs.");
    } else if (reason == "overload") {
        causes.push_back("By the dispatcher's forecast it could not have ended while its caller waits.");
    } else if (reason == "waited_too_long") {
        causes.push_back("It waited in the queue until it could not end while its caller waits.");
    } else if (reason == "evacuated") {
        causes.push_back("All targets that could have run it are in evacuated zones.");
    }
    const auto *atDispatcher = last("job_ended");
    if (atDispatcher != nullptr && !atDispatcher->usage.empty()) {
        causes.push_back("Use of the dispatcher's targets just before: " + atDispatcher->usage);
    }
    return causes;
}

std::vector<std::string> RequestExplanation::causesOfDelay(const Step &answered) const
{
    std::vector<std::string> causes;
    if (numberOf(answered.line, "tries") > 1) {
        causes.push_back("Its first dispatcher was lost or sent it on; it was handed over " + textOf(answered.line, "tries") + " times.");
    }
    for (const auto &step : m_steps) {
        const auto end = textOf(step.line, "end");
        if (step.line.event == "run_ended" && (end == "lease_expired" || end == "failed")) {
            causes.push_back("A run of it ended as " + end + " on target " + textOf(step.line, "target") + ".");
        }
    }
    const double waited = largest("start", "waited_ms");
    const double ran = largest("run_ended", "run_ms");
    const double response = numberOf(answered.line, "response_ms");
    if (last("start") == nullptr) {
        causes.push_back("No start of it is in these lines; it waited, or the lines of its starts were left out.");
    } else if (waited > response * WaitedShare) {
        causes.push_back("Its last task waited " + milliseconds(waited) + " for room.");
    } else {
        causes.push_back("Its longest run took " + milliseconds(ran) + " where " + milliseconds(largest("start", "expected_ms"))
                         + " was expected.");
    }
    return causes;
}

std::vector<std::string> RequestExplanation::causes() const
{
    if (const auto *refused = last("request_refused")) {
        if (last("answered") == nullptr) {
            return {"It was refused at the door with status " + textOf(refused->line, "status") + ": " + textOf(refused->line, "reason")
                    + "."};
        }
    }
    const auto *answered = last("answered");
    if (answered == nullptr) {
        if (m_entryHostRestarted) {
            return {"Its entry host ended before it answered, and started anew; its caller saw the connection break."};
        }
        return {"No answer of its entry host is in these lines."};
    }
    const auto answer = textOf(answered->line, "answer");
    if (answer == "not_run") {
        return causesOfRefusal(*answered);
    }
    std::vector<std::string> causes {"It was answered as " + answer + " after " + milliseconds(numberOf(answered->line, "response_ms"))
                                     + ": " + textOf(answered->line, "reason") + "."};
    for (auto &cause : causesOfDelay(*answered)) {
        causes.push_back(std::move(cause));
    }
    return causes;
}

std::string RequestExplanation::text() const
{
    std::string text;
    for (const auto &step : m_steps) {
        text += step.line.text + "\n";
    }
    text += "\n";
    for (const auto &cause : causes()) {
        text += cause + "\n";
    }
    if (const auto *answered = last("answered"); answered != nullptr && !answered->losses.empty()) {
        text += "Lost shortly before:\n";
        for (const auto &loss : answered->losses) {
            text += "  " + loss + "\n";
        }
    }
    return text;
}
} // namespace Anvilcart
