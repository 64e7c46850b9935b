#pragma once

#include "operator/hoststatus.h"
#include "publication/hostlist.h"

#include <boost/asio/awaitable.hpp>

#include <optional>
#include <string>
#include <vector>

namespace Anvilcart
{
/// What one entry host answered; no status where it did not.
struct HostReport
{
    std::string host;
    std::string zone;
    std::optional<HostStatus> status;
    std::string error;
};

/// Asks every entry host of a list at the same time; the reports are in order of availability zone and host.
boost::asio::awaitable<std::vector<HostReport>> surveyHosts(HostList list);

/// True where the host runs the version or a later one. Thread-safe.
bool isInForce(const HostReport &report, std::uint64_t version);
} // namespace Anvilcart
