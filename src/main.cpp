#include "kernel/hangupsignal.h"
#include "verbs/verbregistry.h"

#include <algorithm>
#include <iostream>
#include <string>
#include <vector>

namespace
{
using namespace Anvilcart;

void printVerbs(std::ostream &stream)
{
    stream << "anvilcart " << ANVILCART_VERSION << ": a dispatcher for jobs of sub-second tasks\n\n"
           << "usage: anvilcart VERB [ARGUMENTS]; anvilcart VERB --help tells more\n\n";
    const auto verbs = VerbRegistry::instance().all();
    std::size_t width = 0;
    for (const auto *verb : verbs) {
        width = std::max(width, verb->name().size() + 2);
    }
    for (const auto *verb : verbs) {
        stream << "  " << verb->name() << std::string(width - verb->name().size(), ' ') << verb->summary() << "\n";
    }
}
} // namespace

int main(int argc, char **argv)
{
    blockHangup();
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    if (arguments.empty() || arguments.front() == "--help") {
        printVerbs(arguments.empty() ? std::cerr : std::cout);
        return static_cast<int>(arguments.empty() ? ExitCode::BadInput : ExitCode::Success);
    }
    if (arguments.front() == "--version") {
        std::cout << "anvilcart " << ANVILCART_VERSION << "\n";
        return static_cast<int>(ExitCode::Success);
    }
    auto *verb = VerbRegistry::instance().find(arguments.front());
    if (verb == nullptr) {
        std::cerr << "command line: there is no verb '" << arguments.front() << "'; see anvilcart --help\n";
        return static_cast<int>(ExitCode::BadInput);
    }
    if (!verb->handlesHangup()) {
        unblockHangup();
    }
    return static_cast<int>(verb->run({arguments.begin() + 1, arguments.end()}));
}
