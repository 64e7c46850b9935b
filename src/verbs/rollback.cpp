#include "net/runcoroutine.h"
#include "verbs/commandline.h"
#include "verbs/platformoption.h"
#include "verbs/publisher.h"
#include "verbs/publishoptions.h"
#include "verbs/verbregistry.h"

namespace Anvilcart
{
namespace
{
ExitCode rejectUnknownVersion(std::uint64_t version)
{
    return rejectInput("rollback: the log has no version " + std::to_string(version)
                       + "; history lists those it has; an older one can be published from version control");
}

boost::asio::awaitable<ExitCode> rollBack(Endpoint platform, std::uint64_t version, PublishOptions options)
{
    ConfigurationLog log(platform);
    const auto problem = co_await prepare(log);
    if (problem) {
        co_return *problem;
    }
    const auto old = log.find(version);
    if (!old) {
        co_return rejectUnknownVersion(version);
    }
    if (options.comment.empty()) {
        options.comment = "rollback to version " + std::to_string(version);
    }
    Edit edit;
    edit.base = log.history().current()->files;
    edit.own = old->files;
    Publisher publisher(log, std::move(options));
    co_return co_await publisher.publish(std::move(edit));
}

/// Publishes the content of an old version as a new one.
class RollbackVerb : public Verb
{
public:
    std::string_view name() const override
    {
        return "rollback";
    }

    std::string_view summary() const override
    {
        return "publish the content of an old version as a new one";
    }

    ExitCode run(const std::vector<std::string> &arguments) override
    {
        TCLAP::CmdLine commandLine("Publishes the content of an old version as a new version; versions never fall. "
                                   "Example: anvilcart rollback --platform 10.0.0.1:9000 6",
                                   ' ',
                                   ANVILCART_VERSION);
        const PlatformOption platform(commandLine);
        PublishArguments common(commandLine);
        TCLAP::UnlabeledValueArg<std::uint64_t> version("old-version", "the old version", true, 0, "VERSION", commandLine);
        if (const auto ended = parseArguments(commandLine, "rollback", arguments)) {
            return *ended;
        }
        const auto endpoint = platform.endpoint();
        if (!endpoint) {
            return ExitCode::BadInput;
        }
        return runCoroutine(rollBack(*endpoint, version.getValue(), common.options()));
    }
};

const VerbRegistrar<RollbackVerb> Registrar;
} // namespace
} // namespace Anvilcart
