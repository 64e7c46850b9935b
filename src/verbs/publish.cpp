#include "config/configurationerror.h"
#include "config/configurationhistory.h"
#include "config/configurationparser.h"
#include "net/runcoroutine.h"
#include "platform/logclient.h"
#include "verbs/commandline.h"
#include "verbs/verbregistry.h"

#include <boost/leaf/handle_errors.hpp>
#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>

#include <iostream>

namespace Anvilcart
{
namespace leaf = boost::leaf;

namespace
{
std::optional<std::vector<ConfigurationFile>> readChecked(const std::string &folder)
{
    using Files = std::optional<std::vector<ConfigurationFile>>;
    return leaf::try_handle_all(
        [&]() -> leaf::result<Files> {
            BOOST_LEAF_AUTO(files, readConfigurationFiles(folder));
            BOOST_LEAF_CHECK(parseConfiguration(files));
            return Files(std::move(files));
        },
        [](const ConfigurationError &error) {
            for (const auto &mistake : error.mistakes) {
                std::cerr << toLine(mistake) << "\n";
            }
            return Files();
        },
        [] {
            return Files();
        });
}

boost::asio::awaitable<bool> readHistory(LogClient &log, ConfigurationHistory &history)
{
    std::uint64_t next = 0;
    for (;;) {
        const auto result = co_await log.read(ConfigurationStream, next, Duration::zero());
        const auto *page = std::get_if<LogPage>(&result);
        if (page == nullptr) {
            co_return false;
        }
        for (const auto &record : page->records) {
            if (const auto decoded = decodeConfigurationRecord(record.body)) {
                history.apply(*decoded);
            }
        }
        next = page->next;
        if (next >= page->end) {
            co_return true;
        }
    }
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
        TCLAP::CmdLine commandLine(
            "Publishes a folder as the next version. Example: anvilcart publish --platform 10.0.0.1:9000 society/", ' ', ANVILCART_VERSION);
        TCLAP::ValueArg<std::string> platform("p", "platform", "the platform's log", true, "", "ADDRESS:PORT", commandLine);
        TCLAP::UnlabeledValueArg<std::string> folder("folder", "the folder with base.yaml and sites/", true, "", "DIR", commandLine);
        if (const auto ended = parseArguments(commandLine, "publish", arguments)) {
            return *ended;
        }
        const auto endpoint = parseEndpoint(platform.getValue());
        if (!endpoint) {
            return rejectInput("command line: --platform is " + platform.getValue()
                               + "; write an IPv4 address and a port, as 10.0.0.1:9000");
        }
        const auto files = readChecked(folder.getValue());
        if (!files) {
            return ExitCode::BadInput;
        }
        LogClient log({*endpoint}, "");
        return runCoroutine(publish(log, *files));
    }

private:
    static boost::asio::awaitable<ExitCode> publish(LogClient &log, const std::vector<ConfigurationFile> &files)
    {
        ConfigurationHistory history;
        if (!co_await readHistory(log, history)) {
            std::cerr << "publish: the platform's log does not answer; nothing was published\n";
            co_return ExitCode::Unreachable;
        }
        ConfigurationRecord record;
        record.id = boost::uuids::to_string(boost::uuids::random_generator()());
        record.parent = history.version();
        record.version = record.parent + 1;
        record.files = files;
        const auto appended = co_await log.append(ConfigurationStream, encode(record));
        if (std::holds_alternative<LogFailure>(appended)) {
            std::cerr << "publish: the log did not confirm; run status before publishing again\n";
            co_return ExitCode::Unreachable;
        }
        std::cout << "published version " << record.version << "\n";
        co_return ExitCode::Success;
    }
};

const VerbRegistrar<PublishVerb> Registrar;
} // namespace
} // namespace Anvilcart
