#pragma once

#include "verbs/exitcode.h"

#include <tclap/CmdLine.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Anvilcart
{
/// Parses a verb's arguments; prints one line and returns BadInput on a mistake, Success when help was printed.
/// Nothing when the verb may go on.
std::optional<ExitCode> parseArguments(TCLAP::CmdLine &commandLine, const std::string &verb, const std::vector<std::string> &arguments);

/// Prints one line to standard error and returns BadInput.
ExitCode rejectInput(const std::string &line);
} // namespace Anvilcart
