#pragma once

#include "config/configuration.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Anvilcart
{
/// A zone's part of a quota, in proportion to the slots of its configured targets. All hosts with the same configuration compute the same
/// result; the parts of all zones add up to the quota. Thread-safe.
std::uint32_t zoneQuota(std::uint32_t quota, const Configuration &configuration, const std::string &zone);

/// A host's part of its zone's quota. While at most entryHosts hosts serve the zone, the sum of the parts never exceeds the quota, even if
/// the hosts see different members. If entryHosts is 0, this holds only while all hosts see the same members. Thread-safe.
std::uint32_t
hostQuota(std::uint32_t zoneQuota, std::uint32_t entryHosts, const std::vector<std::string> &members, const std::string &self);
} // namespace Anvilcart
