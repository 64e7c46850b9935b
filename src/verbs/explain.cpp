#include "model/resultcode.h"
#include "verbs/commandline.h"
#include "verbs/resultcodepage.h"
#include "verbs/verbregistry.h"

#include <iostream>

namespace Anvilcart
{
namespace
{
ExitCode explain(int number)
{
    const auto row = findResultCode(number);
    if (!row) {
        return rejectInput("command line: there is no result code " + std::to_string(number)
                           + "; anvilcart explain --all lists every code");
    }
    std::cout << number << " " << row->name << " (HTTP " << row->httpStatus << ")\n" << row->meaning << "\n" << row->advice << "\n";
    return ExitCode::Success;
}

/// Tells what a result code means and what to do.
class ExplainVerb : public Verb
{
public:
    std::string_view name() const override
    {
        return "explain";
    }

    std::string_view summary() const override
    {
        return "tell what a result code means and what to do";
    }

    ExitCode run(const std::vector<std::string> &arguments) override
    {
        TCLAP::CmdLine commandLine("Tells what a result code means and what to do. Example: anvilcart explain 204", ' ', ANVILCART_VERSION);
        TCLAP::UnlabeledValueArg<int> number("code", "the number of the result", false, -1, "CODE", commandLine);
        TCLAP::SwitchArg all("a", "all", "print the whole table as a page", commandLine);
        if (const auto ended = parseArguments(commandLine, "explain", arguments)) {
            return *ended;
        }
        if (all.getValue()) {
            std::cout << resultCodePage();
            return ExitCode::Success;
        }
        if (!number.isSet()) {
            return rejectInput("command line: no result code is named; write anvilcart explain CODE, or --all");
        }
        return explain(number.getValue());
    }
};

const VerbRegistrar<ExplainVerb> Registrar;
} // namespace
} // namespace Anvilcart
