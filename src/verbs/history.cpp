#include "net/runcoroutine.h"
#include "verbs/commandline.h"
#include "verbs/platformoption.h"
#include "verbs/publishoptions.h"
#include "verbs/verbregistry.h"

#include <boost/json.hpp>

#include <iostream>

namespace Anvilcart
{
namespace
{
std::string_view toName(RecordVerdict verdict)
{
    switch (verdict) {
    case RecordVerdict::Accepted:
        return "accepted";
    case RecordVerdict::LostRace:
        return "lost";
    case RecordVerdict::CarriedForward:
        return "carried forward";
    case RecordVerdict::Deferred:
        return "of unknown fate";
    }
    return "";
}

void printForPeople(const ConfigurationLog &log)
{
    for (const auto &entry : log.entries()) {
        const auto &record = entry.record;
        std::cout << "version " << record.version << " from " << record.parent << "  " << toName(entry.verdict) << "  " << record.author
                  << "  " << record.comment << "\n";
    }
    std::cout << "current is version " << log.history().version() << "\n";
}

void printJson(const ConfigurationLog &log)
{
    boost::json::array list;
    for (const auto &entry : log.entries()) {
        list.push_back(boost::json::object {{"offset", entry.offset},
                                            {"id", entry.record.id},
                                            {"version", entry.record.version},
                                            {"parent", entry.record.parent},
                                            {"verdict", toName(entry.verdict)},
                                            {"author", entry.record.author},
                                            {"comment", entry.record.comment}});
    }
    std::cout << boost::json::serialize(boost::json::object {{"current", log.history().version()}, {"records", std::move(list)}}) << "\n";
}

boost::asio::awaitable<ExitCode> showHistory(Endpoint platform, bool asJson)
{
    ConfigurationLog log(platform);
    const auto problem = co_await prepare(log);
    if (problem) {
        co_return *problem;
    }
    if (asJson) {
        printJson(log);
    } else {
        printForPeople(log);
    }
    co_return ExitCode::Success;
}

/// Lists the versions that the log still holds.
class HistoryVerb : public Verb
{
public:
    std::string_view name() const override
    {
        return "history";
    }

    std::string_view summary() const override
    {
        return "list the versions that the log still holds";
    }

    ExitCode run(const std::vector<std::string> &arguments) override
    {
        TCLAP::CmdLine commandLine("Lists the versions that the log still holds, who published them and which attempts lost. "
                                   "Example: anvilcart history --platform 10.0.0.1:9000",
                                   ' ',
                                   ANVILCART_VERSION);
        const PlatformOption platform(commandLine);
        TCLAP::SwitchArg json("j", "json", "print JSON for scripts", commandLine);
        if (const auto ended = parseArguments(commandLine, "history", arguments)) {
            return *ended;
        }
        const auto endpoint = platform.endpoint();
        if (!endpoint) {
            return ExitCode::BadInput;
        }
        return runCoroutine(showHistory(*endpoint, json.getValue()));
    }
};

const VerbRegistrar<HistoryVerb> Registrar;
} // namespace
} // namespace Anvilcart
