#include "verbs/publishoptions.h"

#include "model/resultcode.h"

#include <cstdlib>
#include <iostream>

namespace Anvilcart
{
namespace
{
std::string loginName()
{
    const char *name = std::getenv("USER");
    return name != nullptr ? name : "unknown";
}

void printUnavailable(const std::string &text)
{
    const auto code = ResultCode::PlatformUnavailable;
    std::cerr << "platform: " << static_cast<int>(code) << " " << info(code).name << ": " << text << "\n";
}
} // namespace

PublishArguments::PublishArguments(TCLAP::CmdLine &commandLine)
    : m_author("a", "author", "who publishes", false, loginName(), "NAME", commandLine)
    , m_comment("m", "comment", "why, for the history", false, "", "TEXT", commandLine)
    , m_dryRun("n", "dry-run", "show what would change and publish nothing", commandLine)
    , m_force("f", "force", "publish although the change would plainly stop a site", commandLine)
    , m_noWait("", "no-wait", "do not wait until the entry hosts run the version", commandLine)
    , m_settleSeconds("", "settle-s", "how long to wait for the log's word, in seconds", false, 60, "SECONDS", commandLine)
    , m_hostSeconds("", "wait-s", "how long to wait for the entry hosts, in seconds", false, 10, "SECONDS", commandLine)
{
}

PublishOptions PublishArguments::options()
{
    PublishOptions options;
    options.author = m_author.getValue();
    options.comment = m_comment.getValue();
    options.dryRun = m_dryRun.getValue();
    options.force = m_force.getValue();
    options.waitForHosts = !m_noWait.getValue();
    options.settleLimit = Seconds(m_settleSeconds.getValue());
    options.hostLimit = Seconds(m_hostSeconds.getValue());
    return options;
}

boost::asio::awaitable<std::optional<ExitCode>> prepare(ConfigurationLog &log)
{
    const bool answered = co_await log.refresh();
    if (!answered) {
        printUnavailable("the log does not answer; nothing was changed; try again when the platform is back");
        co_return ExitCode::Unreachable;
    }
    if (!log.history().isEstablished()) {
        printUnavailable("the log has forgotten the current version and no entry host names it; nothing was changed");
        co_return ExitCode::Unreachable;
    }
    co_return std::nullopt;
}
} // namespace Anvilcart
