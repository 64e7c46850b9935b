#include "verbs/commandline.h"

#include <iostream>

namespace Anvilcart
{
std::optional<ExitCode> parseArguments(TCLAP::CmdLine &commandLine, const std::string &verb, const std::vector<std::string> &arguments)
{
    std::vector<std::string> all = {"anvilcart " + verb};
    all.insert(all.end(), arguments.begin(), arguments.end());
    commandLine.setExceptionHandling(false);
    try {
        commandLine.parse(all);
        return std::nullopt;
    } catch (const TCLAP::ExitException &) {
        return ExitCode::Success;
    } catch (const TCLAP::ArgException &error) {
        return rejectInput("command line: " + error.error() + " " + error.argId() + "; see anvilcart " + verb + " --help");
    }
}

ExitCode rejectInput(const std::string &line)
{
    std::cerr << line << "\n";
    return ExitCode::BadInput;
}
} // namespace Anvilcart
