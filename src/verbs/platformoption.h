#pragma once

#include "model/endpoint.h"

#include <tclap/CmdLine.h>

#include <optional>
#include <string>

namespace Anvilcart
{
/// The option --platform, which every verb that talks to the platform has.
class PlatformOption
{
public:
    explicit PlatformOption(TCLAP::CmdLine &commandLine);

    /// The platform's address; prints one line and gives nothing when it is not an address. Precondition: parsed.
    std::optional<Endpoint> endpoint() const;

private:
    TCLAP::ValueArg<std::string> m_argument;
};
} // namespace Anvilcart
