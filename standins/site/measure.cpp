#include "site/measure.h"

#include <boost/json.hpp>

#include <sstream>

namespace Anvilcart
{
namespace json = boost::json;

namespace
{
std::uint64_t count(const json::object &object, std::string_view key)
{
    return object.at(key).to_number<std::uint64_t>();
}

/// Adds one zone's report; slowdowns are weighted by whole jobs, the p99 is the worst zone's.
void addReport(RunFigures &figures, const json::object &report, const json::object &ledger)
{
    const auto whole = count(report, "whole");
    figures.failed += count(report, "failed");
    figures.notRun += count(report, "not_run");
    figures.unanswered += count(report, "unanswered");
    figures.notSent += count(report, "not_sent");
    figures.wrong += count(report, "wrong");
    const auto sum = static_cast<double>(figures.whole + whole);
    if (sum > 0) {
        const auto weight = static_cast<double>(whole) / sum;
        figures.meanSlowdown += (report.at("mean").to_number<double>() - figures.meanSlowdown) * weight;
        figures.p50Slowdown += (report.at("p50").to_number<double>() - figures.p50Slowdown) * weight;
    }
    figures.p99Slowdown = std::max(figures.p99Slowdown, report.at("p99").to_number<double>());
    figures.whole += whole;
    figures.wholeTasksPerSecond += static_cast<double>(count(report, "whole_tasks"));
    for (const auto &submission : report.at("not_run_submissions").as_array()) {
        figures.untrueNotRun += ledger.contains(submission.as_string()) ? 1 : 0;
    }
}

std::uint64_t countDoubleStarts(const json::object &ledger)
{
    std::uint64_t doubles = 0;
    for (const auto &submission : ledger) {
        for (const auto &task : submission.value().as_object()) {
            doubles += task.value().to_number<std::uint64_t>() > 1 ? 1 : 0;
        }
    }
    return doubles;
}
/// The sum of one metric over all entry hosts; the name includes its labels.
double sumMetric(Site &site, const std::string &name)
{
    double sum = 0;
    for (std::size_t zone = 0; zone < site.options().zones.size(); ++zone) {
        for (std::size_t host = 0; host < site.options().entryHostsPerZone; ++host) {
            std::istringstream lines(site.call(site.callerDoor(zone, host), "GET", "/metrics").body);
            for (std::string line; std::getline(lines, line);) {
                sum += line.starts_with(name + " ") ? std::stod(line.substr(name.size() + 1)) : 0;
            }
        }
    }
    return sum;
}

void addPeerFigures(RunFigures &figures, Site &site, int seconds)
{
    const auto hosts = static_cast<double>(site.options().zones.size() * site.options().entryHostsPerZone);
    const auto tasks = std::max(1.0, figures.wholeTasksPerSecond * seconds);
    figures.peerBytesPerHostSecond = sumMetric(site, "anvilcart_peer_sent_bytes_total") / hosts / seconds;
    figures.peerFramesPerTask = sumMetric(site, "anvilcart_peer_sent_frames_total") / tasks;
    figures.loansPerTask = sumMetric(site, R"(anvilcart_loans_total{event="offered"})") / tasks;
}
} // namespace

RunFigures measure(Site &site, const RunLoad &load, const std::function<void()> &whileRunning)
{
    std::vector<std::unique_ptr<ChildProcess>> callers;
    for (std::size_t zone = 0; zone < site.options().zones.size(); ++zone) {
        callers.push_back(site.startCallers(zone, load.load, load.seconds, load.seed + static_cast<int>(zone), load.clientDelay));
    }
    if (whileRunning) {
        whileRunning();
    }
    for (auto &caller : callers) {
        caller->wait();
    }
    const auto ledgerValue = json::parse(site.ledger());
    const auto &ledger = ledgerValue.as_object();
    RunFigures figures;
    for (std::size_t zone = 0; zone < site.options().zones.size(); ++zone) {
        const auto report = json::parse(site.callersReport(zone));
        addReport(figures, report.as_object(), ledger);
    }
    const auto counts = json::parse(site.targetCounts());
    figures.doubleStarts = countDoubleStarts(ledger);
    figures.jobs = figures.whole + figures.failed + figures.notRun + figures.unanswered + figures.notSent;
    const auto started = static_cast<double>(count(counts.as_object(), "starts"));
    const auto refused = static_cast<double>(count(counts.as_object(), "refusals"));
    figures.wastedPerTask = (refused + started - figures.wholeTasksPerSecond) / std::max(1.0, figures.wholeTasksPerSecond);
    figures.wholeTasksPerSecond /= load.seconds;
    addPeerFigures(figures, site, load.seconds);
    return figures;
}
} // namespace Anvilcart
