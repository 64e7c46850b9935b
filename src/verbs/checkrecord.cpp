#include "net/runcoroutine.h"
#include "platform/configurationcheck.h"
#include "platform/configurationdifference.h"
#include "platform/configurationmessages.h"
#include "platform/jsonvalue.h"
#include "platform/names.h"
#include "platform/storeclient.h"
#include "verbs/commandline.h"
#include "verbs/textfile.h"
#include "verbs/verbregistry.h"

#include <boost/asio/this_coro.hpp>
#include <boost/json.hpp>

#include <iostream>
#include <variant>

namespace Anvilcart
{
namespace json = boost::json;
using Platform::ConfigurationChange;
using Platform::Finding;

namespace
{
/// The record in force; nothing when none was named.
using RecordInForce = std::optional<std::string>;

/// Reads the record in force from the store; an empty one when the store has none.
boost::asio::awaitable<std::variant<RecordInForce, ExitCode>> readFromStore(Endpoint store)
{
    Platform::StoreClient client(co_await boost::asio::this_coro::executor, store);
    const auto answer = co_await client.readNewestRecords(Platform::Names::OperatorTopic);
    if (answer.outcome != Platform::StoreOutcome::Answered) {
        std::cerr << "check-record: the store " << toString(store) << " did not answer: " << answer.error << "\n";
        co_return ExitCode::Unreachable;
    }
    RecordInForce record = std::string();
    for (const auto &entry : answer.page.records) {
        if (entry.key == Platform::Names::ConfigurationKey) {
            record = entry.value;
        }
    }
    co_return record;
}

std::string placeOf(const std::string &place, const std::string &key)
{
    return key.empty() ? place : place + ": " + key;
}

json::value toJson(const std::string &text)
{
    return text.empty() ? json::value() : json::parse(text);
}

void printJson(const std::vector<Finding> &findings, const std::optional<std::vector<ConfigurationChange>> &changes)
{
    json::array findingList;
    for (const auto &finding : findings) {
        findingList.push_back(json::object {{"severity", json::string_view(toName(finding.severity))},
                                            {"place", finding.place},
                                            {"key", finding.key},
                                            {"text", finding.text}});
    }
    json::object output {{"findings", findingList}, {"difference", nullptr}};
    if (changes) {
        json::array changeList;
        for (const auto &change : *changes) {
            changeList.push_back(json::object {{"change", json::string_view(toName(change.kind))},
                                               {"place", change.place},
                                               {"key", change.key},
                                               {"before", toJson(change.before)},
                                               {"after", toJson(change.after)}});
        }
        output["difference"] = changeList;
    }
    std::cout << json::serialize(output) << "\n";
}

void printText(const std::vector<Finding> &findings, const std::optional<std::vector<ConfigurationChange>> &changes)
{
    for (const auto &finding : findings) {
        std::cout << toName(finding.severity) << ": " << placeOf(finding.place, finding.key) << ": " << finding.text << "\n";
    }
    if (findings.empty()) {
        std::cout << "no findings\n";
    }
    if (!changes) {
        return;
    }
    std::cout << (changes->empty() ? "no difference from the version in force\n" : "difference from the version in force:\n");
    for (const auto &change : *changes) {
        std::cout << "  " << toName(change.kind) << " " << placeOf(change.place, change.key);
        if (change.kind == Platform::ChangeKind::Changed) {
            std::cout << " from " << change.before << " to " << change.after;
        } else if (!change.key.empty()) {
            std::cout << " " << change.before << change.after;
        }
        std::cout << "\n";
    }
}

/// Checks a configuration record before it is sent to the platform.
class CheckRecordVerb : public Verb
{
public:
    std::string_view name() const override
    {
        return "check-record";
    }

    std::string_view summary() const override
    {
        return "check a configuration record before it is sent to the platform";
    }

    ExitCode run(const std::vector<std::string> &arguments) override
    {
        TCLAP::CmdLine commandLine("Checks a configuration record of the platform before it is sent, and shows what differs from the "
                                   "version in force. Example: anvilcart check-record --record new.json --store 10.0.0.1:9000",
                                   ' ',
                                   ANVILCART_VERSION);
        TCLAP::ValueArg<std::string> path("r", "record", "the record to check", true, "", "FILE", commandLine);
        TCLAP::ValueArg<std::string> inForcePath("i", "in-force", "a file with the record in force", false, "", "FILE", commandLine);
        TCLAP::ValueArg<std::string> store(
            "s", "store", "the platform's store, which has the record in force", false, "", "ADDRESS:PORT", commandLine);
        TCLAP::SwitchArg json("j", "json", "print JSON for scripts", commandLine);
        if (const auto ended = parseArguments(commandLine, "check-record", arguments)) {
            return *ended;
        }
        if (inForcePath.isSet() && store.isSet()) {
            return rejectInput("command line: name --in-force or --store, not both");
        }
        const auto record = readTextFile(path.getValue());
        if (!record) {
            return rejectInput(path.getValue() + ":0: the file cannot be read; name a file with a configuration record");
        }
        RecordInForce inForce;
        if (inForcePath.isSet()) {
            inForce = readTextFile(inForcePath.getValue());
            if (!inForce) {
                return rejectInput(inForcePath.getValue() + ":0: the file cannot be read; name a file with the record in force");
            }
        } else if (store.isSet()) {
            const auto endpoint = parseEndpoint(store.getValue());
            if (!endpoint) {
                return rejectInput("command line: --store is " + store.getValue() + "; write an IPv4 address and a port, as 10.0.0.1:9000");
            }
            auto read = runCoroutine(readFromStore(*endpoint));
            if (const auto *code = std::get_if<ExitCode>(&read)) {
                return *code;
            }
            inForce = std::get<RecordInForce>(read);
        }
        return report(*record, inForce, json.getValue());
    }

private:
    static ExitCode report(const std::string &record, const RecordInForce &inForce, bool asJson)
    {
        std::optional<std::uint64_t> version;
        std::optional<std::vector<ConfigurationChange>> changes;
        if (inForce) {
            const auto decoded = Platform::decodeConfiguration(*inForce);
            if (!decoded && !inForce->empty()) {
                std::cerr << "check-record: the record in force cannot be read; name the one that the dispatcher applied last\n";
                return ExitCode::Failed;
            }
            version = decoded ? std::optional(decoded->version) : std::nullopt;
            if (Platform::parseObject(record)) {
                changes = Platform::compareConfigurations(*inForce, record);
            }
        }
        const auto findings = Platform::checkConfiguration(record, version);
        if (asJson) {
            printJson(findings, changes);
        } else {
            printText(findings, changes);
        }
        return Platform::hasRejection(findings) ? ExitCode::BadInput : ExitCode::Success;
    }
};

const VerbRegistrar<CheckRecordVerb> Registrar;
} // namespace
} // namespace Anvilcart
