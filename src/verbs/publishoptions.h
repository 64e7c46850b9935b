#pragma once

#include "verbs/publisher.h"

#include <tclap/CmdLine.h>

#include <optional>
#include <string>

namespace Anvilcart
{
/// The options that publish and rollback share.
class PublishArguments
{
public:
    explicit PublishArguments(TCLAP::CmdLine &commandLine);

    /// The options as they were given. Precondition: parsed.
    PublishOptions options();

private:
    TCLAP::ValueArg<std::string> m_author;
    TCLAP::ValueArg<std::string> m_comment;
    TCLAP::SwitchArg m_dryRun;
    TCLAP::SwitchArg m_force;
    TCLAP::SwitchArg m_noWait;
    TCLAP::ValueArg<unsigned> m_settleSeconds;
    TCLAP::ValueArg<unsigned> m_hostSeconds;
};

/// Reads the log; prints one line and returns the exit code when a verb cannot go on.
boost::asio::awaitable<std::optional<ExitCode>> prepare(ConfigurationLog &log);
} // namespace Anvilcart
