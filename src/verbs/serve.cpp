#include "config/configurationerror.h"
#include "config/settings.h"
#include "kernel/kernel.h"
#include "verbs/commandline.h"
#include "verbs/textfile.h"
#include "verbs/verbregistry.h"

#include <boost/asio/signal_set.hpp>
#include <boost/leaf/handle_errors.hpp>
#include <glog/logging.h>

#include <csignal>
#include <iostream>

namespace Anvilcart
{
namespace leaf = boost::leaf;

namespace
{
std::optional<Settings> loadSettings(const std::string &path, const std::string &content)
{
    return leaf::try_handle_all(
        [&]() -> leaf::result<std::optional<Settings>> {
            BOOST_LEAF_AUTO(settings, parseSettings(content, path));
            return std::optional(settings);
        },
        [](const ConfigurationError &error) {
            for (const auto &mistake : error.mistakes) {
                std::cerr << toLine(mistake) << "\n";
            }
            return std::optional<Settings>();
        },
        [] {
            return std::optional<Settings>();
        });
}

ExitCode runDaemon(const Settings &settings)
{
    Kernel kernel(settings.ioThreads, settings.drainLimit);
    boost::asio::signal_set signals(kernel.ioLoops().at(0), SIGTERM, SIGINT);
    signals.async_wait([&kernel](const boost::system::error_code &error, int) {
        if (!error) {
            kernel.requestShutdown();
        }
    });
    kernel.provide<const Settings>(settings);
    try {
        kernel.run();
    } catch (const boost::system::system_error &error) {
        std::cerr << "serve: cannot listen: " << error.what() << "; check the doors in the settings\n";
        return ExitCode::Failed;
    }
    return ExitCode::Success;
}

/// Runs an entry host until SIGTERM.
class ServeVerb : public Verb
{
public:
    std::string_view name() const override
    {
        return "serve";
    }

    std::string_view summary() const override
    {
        return "run an entry host until SIGTERM";
    }

    ExitCode run(const std::vector<std::string> &arguments) override
    {
        TCLAP::CmdLine commandLine(
            "Runs an entry host until SIGTERM. Example: anvilcart serve --settings entry-1.yaml", ' ', ANVILCART_VERSION);
        TCLAP::ValueArg<std::string> path("s", "settings", "the settings of this process", true, "", "FILE", commandLine);
        if (const auto ended = parseArguments(commandLine, "serve", arguments)) {
            return *ended;
        }
        const auto content = readTextFile(path.getValue());
        if (!content) {
            return rejectInput(path.getValue() + ":0: the file cannot be read; name a settings file");
        }
        const auto settings = loadSettings(path.getValue(), *content);
        if (!settings) {
            return ExitCode::BadInput;
        }
        FLAGS_logtostderr = true;
        google::InitGoogleLogging("anvilcart");
        return runDaemon(*settings);
    }
};

const VerbRegistrar<ServeVerb> Registrar;
} // namespace
} // namespace Anvilcart
