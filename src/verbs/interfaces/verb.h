#pragma once

#include "verbs/exitcode.h"

#include <string>
#include <string_view>
#include <vector>

namespace Anvilcart
{
/// One word of the command line, as `anvilcart serve`.
class Verb
{
public:
    virtual ~Verb() = default;

    /// The word.
    virtual std::string_view name() const = 0;

    /// One line for the list of verbs.
    virtual std::string_view summary() const = 0;

    /// True if the verb handles SIGHUP, which is blocked until it calls unblockHangup(). For other verbs the signal ends the process.
    virtual bool handlesHangup() const
    {
        return false;
    }

    /// Runs the verb with the arguments after its name. Blocks until it is done.
    virtual ExitCode run(const std::vector<std::string> &arguments) = 0;
};
} // namespace Anvilcart
