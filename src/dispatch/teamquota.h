#pragma once

#include "config/configuration.h"

#include <cstdint>
#include <string>
#include <vector>

namespace Anvilcart
{
/// A zone's part of a quota, by the slots of its configured targets. Computed alike by every host with the same configuration; the parts
/// of all zones add up to the quota. Thread-safe.
std::uint32_t zoneQuota(std::uint32_t quota, const Configuration &configuration, const std::string &zone);

/// A host's part of its zone's quota. While at most entryHosts hosts serve the zone, the parts add up to no more than the quota whatever
/// members each of them hears; with 0 that holds only while all hear the same members. Thread-safe.
std::uint32_t
hostQuota(std::uint32_t zoneQuota, std::uint32_t entryHosts, const std::vector<std::string> &members, const std::string &self);
} // namespace Anvilcart
