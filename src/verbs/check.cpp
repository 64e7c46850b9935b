#include "config/settings.h"
#include "verbs/checkedfiles.h"
#include "verbs/commandline.h"
#include "verbs/settingspage.h"
#include "verbs/textfile.h"
#include "verbs/verbregistry.h"

#include <boost/json.hpp>
#include <boost/leaf/handle_errors.hpp>

#include <iostream>

namespace Anvilcart
{
namespace leaf = boost::leaf;

namespace
{
ExitCode explainKey(const std::string &name)
{
    const auto keys = findKeys(name);
    if (keys.empty()) {
        std::vector<std::string> names;
        for (const auto &key : schemaTable()) {
            names.emplace_back(key.path);
            names.emplace_back(lastName(key.path));
        }
        const auto nearest = nearestName(name, names);
        return rejectInput("check: there is no key '" + name + "'; "
                           + (nearest.empty() ? std::string("check --reference lists every key") : "did you mean '" + nearest + "'?"));
    }
    for (const auto *key : keys) {
        std::cout << keyPage(*key);
    }
    return ExitCode::Success;
}

std::vector<ConfigurationMistake> settingsMistakes(const std::string &path)
{
    using Mistakes = std::vector<ConfigurationMistake>;
    const auto content = readTextFile(path);
    if (!content) {
        return {{path, 0, "the file cannot be read", "name a settings file"}};
    }
    return leaf::try_handle_all(
        [&]() -> leaf::result<Mistakes> {
            BOOST_LEAF_CHECK(parseSettings(*content, path));
            return Mistakes();
        },
        [](const ConfigurationError &error) {
            return error.mistakes;
        },
        [] {
            return Mistakes();
        });
}

std::vector<ConfigurationMistake> folderMistakes(const std::string &folder)
{
    const auto checked = checkFolder(folder);
    const auto *error = std::get_if<ConfigurationError>(&checked);
    return error != nullptr ? error->mistakes : std::vector<ConfigurationMistake>();
}

void printJson(const std::vector<ConfigurationMistake> &mistakes)
{
    boost::json::array list;
    for (const auto &mistake : mistakes) {
        list.push_back(
            boost::json::object {{"file", mistake.file}, {"line", mistake.line}, {"found", mistake.what}, {"allowed", mistake.advice}});
    }
    std::cout << boost::json::serialize(list) << "\n";
}

ExitCode report(const std::vector<ConfigurationMistake> &mistakes, bool asJson)
{
    if (asJson) {
        printJson(mistakes);
    } else if (mistakes.empty()) {
        std::cout << "no mistakes\n";
    } else {
        printMistakes(ConfigurationError {mistakes});
        std::cerr << "check: " << mistakes.size() << (mistakes.size() == 1 ? " mistake" : " mistakes") << "\n";
    }
    return mistakes.empty() ? ExitCode::Success : ExitCode::BadInput;
}

/// Checks files without a network.
class CheckVerb : public Verb
{
public:
    std::string_view name() const override
    {
        return "check";
    }

    std::string_view summary() const override
    {
        return "check a folder or a settings file, without a network";
    }

    ExitCode run(const std::vector<std::string> &arguments) override
    {
        TCLAP::CmdLine commandLine("Checks a base file and its overlays, and settings files, without a network; tells every mistake. "
                                   "Example: anvilcart check society/",
                                   ' ',
                                   ANVILCART_VERSION);
        TCLAP::ValueArg<std::string> settings("s", "settings", "a settings file of a process", false, "", "FILE", commandLine);
        TCLAP::ValueArg<std::string> key("e", "explain", "tell what a key means", false, "", "KEY", commandLine);
        TCLAP::SwitchArg reference("r", "reference", "print the page of every key", commandLine);
        TCLAP::SwitchArg json("j", "json", "print JSON for scripts", commandLine);
        TCLAP::UnlabeledValueArg<std::string> folder("folder", "the folder with base.yaml and sites/", false, "", "DIR", commandLine);
        if (const auto ended = parseArguments(commandLine, "check", arguments)) {
            return *ended;
        }
        if (key.isSet()) {
            return explainKey(key.getValue());
        }
        if (reference.getValue()) {
            std::cout << settingsPage();
            return ExitCode::Success;
        }
        if (!folder.isSet() && !settings.isSet()) {
            return rejectInput("command line: name a folder or --settings; see anvilcart check --help");
        }
        auto mistakes = folder.isSet() ? folderMistakes(folder.getValue()) : std::vector<ConfigurationMistake>();
        if (settings.isSet()) {
            const auto more = settingsMistakes(settings.getValue());
            mistakes.insert(mistakes.end(), more.begin(), more.end());
        }
        return report(mistakes, json.getValue());
    }
};

const VerbRegistrar<CheckVerb> Registrar;
} // namespace
} // namespace Anvilcart
