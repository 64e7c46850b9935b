#include "verbs/platformoption.h"

#include "verbs/commandline.h"

namespace Anvilcart
{
PlatformOption::PlatformOption(TCLAP::CmdLine &commandLine)
    : m_argument("p", "platform", "the platform's log", true, "", "ADDRESS:PORT", commandLine)
{
}

std::optional<Endpoint> PlatformOption::endpoint() const
{
    const auto &text = m_argument.getValue();
    auto endpoint = parseEndpoint(text);
    if (!endpoint) {
        rejectInput("command line: --platform is " + text + "; write an IPv4 address and a port, as 10.0.0.1:9000");
    }
    return endpoint;
}
} // namespace Anvilcart
