#include "model/resultcode.h"
#include "net/runcoroutine.h"
#include "verbs/commandline.h"
#include "verbs/platformoption.h"
#include "verbs/publisher.h"
#include "verbs/publishoptions.h"
#include "verbs/verbregistry.h"
#include "verbs/workingfolder.h"

#include <iostream>

namespace Anvilcart
{
namespace
{
/// What the verb was asked to publish.
struct PublishRequest
{
    Endpoint platform;
    std::string folder;
    std::optional<std::uint64_t> from;
    PublishOptions options;
};

/// The set that the folder was made from; prints why and gives nothing when that is not known.
std::optional<std::vector<ConfigurationFile>> baseOf(const PublishRequest &request, const ConfigurationLog &log)
{
    using Files = std::vector<ConfigurationFile>;
    const auto version = request.from ? request.from : readMarker(request.folder);
    if (log.history().version() == 0) {
        return Files();
    }
    if (!version) {
        rejectInput("publish: " + request.folder + " does not say which version it was made from; the current one is "
                    + std::to_string(log.history().version()) + "; see diff, then name the version with --from");
        return std::nullopt;
    }
    const auto record = log.find(*version);
    if (!record) {
        rejectInput("publish: the log has no version " + std::to_string(*version) + " any more; see diff, then name the current one, "
                    + std::to_string(log.history().version()) + ", with --from");
        return std::nullopt;
    }
    return record->files;
}

boost::asio::awaitable<ExitCode> publish(const PublishRequest &request, const std::vector<ConfigurationFile> &files)
{
    ConfigurationLog log(request.platform);
    const auto problem = co_await prepare(log);
    if (problem) {
        co_return *problem;
    }
    auto base = baseOf(request, log);
    if (!base) {
        co_return ExitCode::BadInput;
    }
    Edit edit;
    edit.base = std::move(*base);
    edit.own = files;
    Publisher publisher(log, request.options);
    const auto code = co_await publisher.publish(std::move(edit));
    if (publisher.version() > 0 && !request.options.dryRun) {
        updateFiles(request.folder, publisher.takenOver(), publisher.files());
        writeMarker(request.folder, publisher.version());
    }
    for (const auto &name : publisher.takenOver()) {
        std::cout << (request.options.dryRun ? "would take over " : "took over ") << name << ", which another operator changed\n";
    }
    co_return code;
}

/// Publishes a folder as the next version.
class PublishVerb : public Verb
{
public:
    std::string_view name() const override
    {
        return "publish";
    }

    std::string_view summary() const override
    {
        return "publish a base file and its overlays as the next version";
    }

    ExitCode run(const std::vector<std::string> &arguments) override
    {
        TCLAP::CmdLine commandLine("Publishes a folder as the next version and waits until it is in force on every entry host. "
                                   "Example: anvilcart publish --platform 10.0.0.1:9000 society/",
                                   ' ',
                                   ANVILCART_VERSION);
        const PlatformOption platform(commandLine);
        PublishArguments common(commandLine);
        TCLAP::ValueArg<std::uint64_t> from(
            "", "from", "the version that the folder was made from, where the folder does not say", false, 0, "VERSION", commandLine);
        TCLAP::UnlabeledValueArg<std::string> folder("folder", "the folder with base.yaml and sites/", true, "", "DIR", commandLine);
        if (const auto ended = parseArguments(commandLine, "publish", arguments)) {
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
        PublishRequest request;
        request.platform = *endpoint;
        request.folder = folder.getValue();
        request.options = common.options();
        if (from.isSet()) {
            request.from = from.getValue();
        }
        return runCoroutine(publish(request, std::get<CheckedFiles>(checked).files));
    }
};

const VerbRegistrar<PublishVerb> Registrar;
} // namespace
} // namespace Anvilcart
