#include "caller/jobcodec.h"
#include "net/httpclient.h"
#include "net/runcoroutine.h"
#include "verbs/commandline.h"
#include "verbs/textfile.h"
#include "verbs/verbregistry.h"

#include <iostream>

namespace Anvilcart
{
namespace
{
constexpr Seconds AnswerTimeout {600};

/// Sends one job and prints its answer.
class SubmitVerb : public Verb
{
public:
    std::string_view name() const override
    {
        return "submit";
    }

    std::string_view summary() const override
    {
        return "send one job and print its answer";
    }

    ExitCode run(const std::vector<std::string> &arguments) override
    {
        TCLAP::CmdLine commandLine(
            "Sends one job and prints its answer. Example: anvilcart submit --to 10.0.0.1:7000 job.json", ' ', ANVILCART_VERSION);
        TCLAP::ValueArg<std::string> door("t", "to", "a caller door", true, "", "ADDRESS:PORT", commandLine);
        TCLAP::UnlabeledValueArg<std::string> path("job", "a file with the job in JSON", true, "", "FILE", commandLine);
        if (const auto ended = parseArguments(commandLine, "submit", arguments)) {
            return *ended;
        }
        const auto endpoint = parseEndpoint(door.getValue());
        if (!endpoint) {
            return rejectInput("command line: --to is " + door.getValue() + "; write an IPv4 address and a port, as 10.0.0.1:7000");
        }
        const auto job = readTextFile(path.getValue());
        if (!job) {
            return rejectInput(path.getValue() + ":0: the file cannot be read; name a file with a job in JSON");
        }
        return send(*endpoint, *job);
    }

private:
    static ExitCode send(const Endpoint &endpoint, const std::string &job)
    {
        const auto reply = runCoroutine(callOnce(endpoint, HttpCall("POST", "/v1/jobs", job), AnswerTimeout));
        if (reply.progress != CallProgress::Answered) {
            std::cerr << "submit: " << toString(endpoint) << " did not answer: " << reply.error
                      << (reply.progress == CallProgress::NotSent ? "; nothing was run\n" : "; some tasks may have run\n");
            return ExitCode::Unreachable;
        }
        std::cout << reply.body << "\n";
        return decodeAnswer(reply.body).code == ResultCode::Complete ? ExitCode::Success : ExitCode::Failed;
    }
};

const VerbRegistrar<SubmitVerb> Registrar;
} // namespace
} // namespace Anvilcart
