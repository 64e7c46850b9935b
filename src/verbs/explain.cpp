#include "model/resultcode.h"
#include "verbs/commandline.h"
#include "verbs/requestexplanation.h"
#include "verbs/resultcodepage.h"
#include "verbs/verbregistry.h"

#include <boost/lexical_cast/try_lexical_convert.hpp>

#include <algorithm>
#include <cctype>
#include <iostream>

namespace Anvilcart
{
namespace
{
/// Requests are named by so many hexadecimal digits; result codes have three digits.
constexpr std::size_t RequestIdDigits = 16;

bool isRequestId(const std::string &word)
{
    return word.size() == RequestIdDigits && std::all_of(word.begin(), word.end(), [](unsigned char letter) {
               return std::isxdigit(letter) != 0;
           });
}

ExitCode explainRequest(const std::string &id)
{
    RequestExplanation explanation(id);
    explanation.read(std::cin);
    if (!explanation.isKnown()) {
        return rejectInput("standard input: no line names request " + id
                           + "; give the output of all hosts, as in cat LOGS | anvilcart explain " + id);
    }
    std::cout << explanation.text();
    return ExitCode::Success;
}

ExitCode explainCode(int number)
{
    const auto row = findResultCode(number);
    if (!row) {
        return rejectInput("command line: there is no result code " + std::to_string(number)
                           + "; anvilcart explain --all lists every code");
    }
    std::cout << number << " " << row->name << " (HTTP " << row->httpStatus << ")\n" << row->meaning << "\n" << row->advice << "\n";
    return ExitCode::Success;
}

/// Tells what a result code means and what to do, or why a request ended as it did.
class ExplainVerb : public Verb
{
public:
    std::string_view name() const override
    {
        return "explain";
    }

    std::string_view summary() const override
    {
        return "tell what a result code means, or from logs why a request ended so";
    }

    ExitCode run(const std::vector<std::string> &arguments) override
    {
        TCLAP::CmdLine commandLine(
            "Tells what a result code means and what to do, or, from the lines of all hosts on standard input, why a "
            "request ended as it did. Examples: anvilcart explain 204; anvilcart explain 19d7fe0d25f224dd < LOGS",
            ' ',
            ANVILCART_VERSION);
        TCLAP::UnlabeledValueArg<std::string> what(
            "what", "the number of a result, or the id of a request", false, "", "CODE|REQUEST-ID", commandLine);
        TCLAP::SwitchArg all("a", "all", "print the whole table as a page", commandLine);
        if (const auto ended = parseArguments(commandLine, "explain", arguments)) {
            return *ended;
        }
        if (all.getValue()) {
            std::cout << resultCodePage();
            return ExitCode::Success;
        }
        if (!what.isSet()) {
            return rejectInput("command line: no result code is named; write anvilcart explain CODE, or --all");
        }
        if (isRequestId(what.getValue())) {
            return explainRequest(what.getValue());
        }
        int number = 0;
        if (!boost::conversion::try_lexical_convert(what.getValue(), number)) {
            return rejectInput("command line: " + what.getValue()
                               + " is neither the number of a result nor the 16 hexadecimal digits of a request");
        }
        return explainCode(number);
    }
};

const VerbRegistrar<ExplainVerb> Registrar;
} // namespace
} // namespace Anvilcart
