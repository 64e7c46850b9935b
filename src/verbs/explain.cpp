#include "model/resultcode.h"
#include "verbs/commandline.h"
#include "verbs/verbregistry.h"

#include <iostream>

namespace Anvilcart
{
namespace
{
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
        TCLAP::UnlabeledValueArg<int> number("code", "the number of the result", true, 0, "CODE", commandLine);
        if (const auto ended = parseArguments(commandLine, "explain", arguments)) {
            return *ended;
        }
        const auto row = findResultCode(number.getValue());
        if (!row) {
            return rejectInput("command line: there is no result code " + std::to_string(number.getValue()) + "; see docs/RESULT-CODES.md");
        }
        std::cout << number.getValue() << " " << row->name << " (HTTP " << row->httpStatus << ")\n"
                  << row->meaning << "\n"
                  << row->advice << "\n";
        return ExitCode::Success;
    }
};

const VerbRegistrar<ExplainVerb> Registrar;
} // namespace
} // namespace Anvilcart
