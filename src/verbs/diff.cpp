#include "config/configurationdiff.h"
#include "net/runcoroutine.h"
#include "verbs/changereport.h"
#include "verbs/checkedfiles.h"
#include "verbs/commandline.h"
#include "verbs/platformoption.h"
#include "verbs/publishoptions.h"
#include "verbs/verbregistry.h"

#include <iostream>

namespace Anvilcart
{
namespace
{
boost::asio::awaitable<ExitCode> diff(Endpoint platform, Configuration own, bool asJson)
{
    ConfigurationLog log(platform);
    const auto problem = co_await prepare(log);
    if (problem) {
        co_return *problem;
    }
    Configuration current;
    if (const auto &record = log.history().current()) {
        const auto checked = checkFiles(record->files);
        if (const auto *error = std::get_if<ConfigurationError>(&checked)) {
            printMistakes(*error);
            co_return ExitCode::Failed;
        }
        current = std::get<CheckedFiles>(checked).configuration;
    }
    const auto changes = describeChanges(current, own);
    if (asJson) {
        std::cout << changesAsJson(changes) << "\n";
        co_return ExitCode::Success;
    }
    std::cout << "changes from version " << log.history().version() << ":\n" << changeReport(changes);
    co_return ExitCode::Success;
}

/// Shows what a folder would change at each site.
class DiffVerb : public Verb
{
public:
    std::string_view name() const override
    {
        return "diff";
    }

    std::string_view summary() const override
    {
        return "show what a folder would change at each site";
    }

    ExitCode run(const std::vector<std::string> &arguments) override
    {
        TCLAP::CmdLine commandLine("Shows what a folder would change at each site against the version in force. "
                                   "Example: anvilcart diff --platform 10.0.0.1:9000 society/",
                                   ' ',
                                   ANVILCART_VERSION);
        const PlatformOption platform(commandLine);
        TCLAP::SwitchArg json("j", "json", "print JSON for scripts", commandLine);
        TCLAP::UnlabeledValueArg<std::string> folder("folder", "the folder with base.yaml and sites/", true, "", "DIR", commandLine);
        if (const auto ended = parseArguments(commandLine, "diff", arguments)) {
            return *ended;
        }
        const auto endpoint = platform.endpoint();
        if (!endpoint) {
            return ExitCode::BadInput;
        }
        const auto checked = checkFolder(folder.getValue());
        if (const auto *error = std::get_if<ConfigurationError>(&checked)) {
            printMistakes(*error);
            return ExitCode::BadInput;
        }
        return runCoroutine(diff(*endpoint, std::get<CheckedFiles>(checked).configuration, json.getValue()));
    }
};

const VerbRegistrar<DiffVerb> Registrar;
} // namespace
} // namespace Anvilcart
