#pragma once

#include "kernel/time.h"
#include "model/endpoint.h"

#include <boost/leaf/result.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace Anvilcart
{
/// The settings of one daemon: who it is, where it listens and where the platform is.
struct Settings
{
    std::string host;
    std::string zone;
    Endpoint callerDoor;
    Endpoint operatorDoor;
    Endpoint peerDoor;
    std::vector<Endpoint> platform;
    /// Operator doors of other entry hosts, asked for the configuration while the platform does not answer.
    std::vector<Endpoint> peers;
    Seconds carryForwardPeriod {3600};
    std::uint32_t ioThreads = 2;
    Seconds drainLimit {30};
};

/// Parses and checks a settings file's text. Error: ConfigurationError with every mistake. Thread-safe.
boost::leaf::result<Settings> parseSettings(const std::string &content, const std::string &file);
} // namespace Anvilcart
