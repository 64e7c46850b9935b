#include "net/runcoroutine.h"
#include "verbs/commandline.h"
#include "verbs/configurationlog.h"
#include "verbs/hostsurvey.h"
#include "verbs/verbregistry.h"

#include <boost/json.hpp>

#include <array>
#include <ctime>
#include <iostream>

namespace Anvilcart
{
namespace
{
std::string utcTime(std::int64_t secondsSinceEpoch)
{
    const std::time_t time = secondsSinceEpoch;
    std::tm parts {};
    gmtime_r(&time, &parts);
    std::array<char, 32> text {};
    std::strftime(text.data(), text.size(), "%Y-%m-%d %H:%M:%SZ", &parts);
    return text.data();
}

std::string_view stateOf(const HostStatus &status)
{
    if (status.draining) {
        return "draining";
    }
    return status.ready ? "ready" : "not ready";
}

void printHost(const HostReport &report)
{
    std::cout << "  " << report.host << "  ";
    if (!report.status) {
        std::cout << "not reached: " << report.error << "\n";
        return;
    }
    const auto &status = *report.status;
    std::cout << stateOf(status) << "  version " << status.version;
    if (status.version > 0) {
        std::cout << " since " << utcTime(status.inForceSince);
    }
    std::cout << "  targets " << status.targetsInService << " in service, " << status.targetsLeaving << " leaving  slots "
              << status.freeSlots << " of " << status.ownSlots << " free  queue " << status.queuedTasks << " tasks\n";
    if (status.acceptedVersion > status.version) {
        std::cout << "    version " << status.acceptedVersion << " was accepted, but this release cannot read it\n";
    }
    if (!status.established) {
        std::cout << "    the version is a peer's word or from before a cut; the log was not read to its end\n";
    }
    if (status.skippedRecords > 0) {
        std::cout << "    records that could not be read: " << status.skippedRecords << "\n";
    }
    for (const auto &refusal : status.refusals) {
        std::cout << "    answered " << static_cast<int>(refusal.code) << " " << info(refusal.code).name << ": " << refusal.count << "\n";
    }
}

void printForPeople(const std::vector<HostReport> &reports)
{
    std::string zone;
    for (const auto &report : reports) {
        if (report.zone != zone) {
            zone = report.zone;
            std::cout << zone << "\n";
        }
        printHost(report);
    }
}

void printJson(const std::vector<HostReport> &reports)
{
    boost::json::array list;
    for (const auto &report : reports) {
        if (report.status) {
            list.push_back(boost::json::parse(encode(*report.status)));
        } else {
            list.push_back(boost::json::object {{"host", report.host}, {"availability_zone", report.zone}, {"error", report.error}});
        }
    }
    std::cout << boost::json::serialize(list) << "\n";
}

bool isWhole(const std::vector<HostReport> &reports)
{
    for (const auto &report : reports) {
        if (!report.status || !report.status->ready) {
            return false;
        }
    }
    return !reports.empty();
}

HostList listOf(const std::vector<Endpoint> &doors)
{
    HostList list;
    for (const auto &door : doors) {
        HostListEntry host;
        host.name = toString(door);
        host.zone = "named doors";
        host.operatorEndpoint = door;
        list.hosts.push_back(std::move(host));
    }
    return list;
}

boost::asio::awaitable<ExitCode> showHosts(HostList list, bool asJson)
{
    const auto reports = co_await surveyHosts(std::move(list));
    if (asJson) {
        printJson(reports);
    } else {
        printForPeople(reports);
    }
    co_return isWhole(reports) ? ExitCode::Success : ExitCode::NotEverywhere;
}

boost::asio::awaitable<ExitCode> showListedHosts(Endpoint platform, bool asJson)
{
    ConfigurationLog log(platform);
    auto list = co_await log.hosts();
    if (!list) {
        std::cerr << "status: the platform's host list does not answer; ask a host: anvilcart status --door ADDRESS:PORT\n";
        co_return ExitCode::Unreachable;
    }
    co_return co_await showHosts(std::move(*list), asJson);
}

std::optional<std::vector<Endpoint>> parseEndpoints(const std::vector<std::string> &texts)
{
    std::vector<Endpoint> endpoints;
    for (const auto &text : texts) {
        const auto endpoint = parseEndpoint(text);
        if (!endpoint) {
            rejectInput("command line: " + text + " is no address; write an IPv4 address and a port, as 10.0.0.1:7001");
            return std::nullopt;
        }
        endpoints.push_back(*endpoint);
    }
    return endpoints;
}

/// Tells what runs where.
class StatusVerb : public Verb
{
public:
    std::string_view name() const override
    {
        return "status";
    }

    std::string_view summary() const override
    {
        return "tell which version runs where, and what is refused";
    }

    ExitCode run(const std::vector<std::string> &arguments) override
    {
        TCLAP::CmdLine commandLine("Tells for each entry host which version runs, what is refused and which targets are in service. "
                                   "Example: anvilcart status --platform 10.0.0.1:9000",
                                   ' ',
                                   ANVILCART_VERSION);
        TCLAP::ValueArg<std::string> platform("p", "platform", "the platform, for its host list", false, "", "ADDRESS:PORT", commandLine);
        TCLAP::MultiArg<std::string> doors(
            "d", "door", "the operator door of an entry host, where the platform is down", false, "ADDRESS:PORT", commandLine);
        TCLAP::SwitchArg json("j", "json", "print JSON for scripts", commandLine);
        if (const auto ended = parseArguments(commandLine, "status", arguments)) {
            return *ended;
        }
        if (platform.isSet() == doors.isSet()) {
            return rejectInput("command line: name either --platform or at least one --door; see anvilcart status --help");
        }
        const auto endpoints = parseEndpoints(platform.isSet() ? std::vector {platform.getValue()} : doors.getValue());
        if (!endpoints) {
            return ExitCode::BadInput;
        }
        return runCoroutine(platform.isSet() ? showListedHosts(endpoints->front(), json.getValue())
                                             : showHosts(listOf(*endpoints), json.getValue()));
    }
};

const VerbRegistrar<StatusVerb> Registrar;
} // namespace
} // namespace Anvilcart
