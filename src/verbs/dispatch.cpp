#include "hostruntime/hostprocess.h"
#include "platform/names.h"
#include "platform/settingsfile.h"
#include "verbs/commandline.h"
#include "verbs/textfile.h"
#include "verbs/verbregistry.h"

#include <boost/system/system_error.hpp>

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace Anvilcart
{
namespace
{
std::string defaultSettingsPath()
{
    const auto *path = std::getenv(Platform::Names::SettingsVariable);
    return path == nullptr ? std::string() : std::string(path);
}

/// Runs a host on the platform until SIGTERM.
class DispatchVerb : public Verb
{
public:
    std::string_view name() const override
    {
        return "dispatch";
    }

    std::string_view summary() const override
    {
        return "run a host on the platform until SIGTERM";
    }

    bool handlesHangup() const override
    {
        return true;
    }

    ExitCode run(const std::vector<std::string> &arguments) override
    {
        TCLAP::CmdLine commandLine(
            "Runs a host on the platform until SIGTERM. Example: anvilcart dispatch --settings boot.conf --metrics-port 9464",
            ' ',
            ANVILCART_VERSION);
        TCLAP::ValueArg<std::string> path("s",
                                          "settings",
                                          "the platform's settings file; by default the one that the environment names",
                                          false,
                                          defaultSettingsPath(),
                                          "FILE",
                                          commandLine);
        TCLAP::ValueArg<int> metricsPort("m", "metrics-port", "port of the metrics; 0 serves none", false, 0, "PORT", commandLine);
        std::vector<std::string> policies {"fair-share", "least-work", "earliest-objective", "first-come"};
        TCLAP::ValuesConstraint<std::string> knownPolicies(policies);
        TCLAP::ValueArg<std::string> policy("q", "queue", "the order of waiting jobs", false, "fair-share", &knownPolicies, commandLine);
        TCLAP::SwitchArg keepHopeless("", "keep-hopeless", "let jobs wait that cannot be served in time (a baseline)", commandLine);
        TCLAP::SwitchArg refuseLate(
            "", "refuse-late", "refuse jobs that have missed their objective at once while capacity is short", commandLine);
        if (const auto ended = parseArguments(commandLine, "dispatch", arguments)) {
            return *ended;
        }
        const auto content = readTextFile(path.getValue());
        if (!content) {
            return rejectInput(path.getValue() + ":0: the file cannot be read; name the platform's settings file");
        }
        const auto result = Platform::parseSettings(*content);
        if (!result.settings) {
            return rejectInput(path.getValue() + ":" + std::to_string(result.error.line) + ": " + result.error.message);
        }
        if (!result.settings->requestsByCall) {
            return rejectInput(path.getValue() + ":0: command_mode is heartbeat; only call is supported");
        }
        Fleet::HostOptions options;
        options.settingsPath = path.getValue();
        options.metricsPort = static_cast<std::uint16_t>(metricsPort.getValue());
        options.queuePolicy = policy.getValue();
        options.refuseInfeasible = !keepHopeless.getValue();
        options.refuseLate = refuseLate.getValue();
        return serve(*result.settings, options);
    }

private:
    static ExitCode serve(const Platform::HostSettings &settings, const Fleet::HostOptions &options)
    {
        std::signal(SIGPIPE, SIG_IGN);
        try {
            Fleet::HostProcess process(settings, options);
            process.run();
        } catch (const boost::system::system_error &error) {
            std::cerr << "dispatch: cannot listen: " << error.what() << "; check the doors in the settings\n";
            return ExitCode::Failed;
        }
        return ExitCode::Success;
    }
};

const VerbRegistrar<DispatchVerb> Registrar;
} // namespace
} // namespace Anvilcart
