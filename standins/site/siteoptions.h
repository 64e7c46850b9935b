#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace Anvilcart
{
/// The size and policy of a site to be started.
struct SiteOptions
{
    std::string name = "site";
    std::vector<std::string> zones = {"fraser"};
    std::uint32_t entryHostsPerZone = 2;
    std::uint32_t targetsPerZone = 4;
    std::uint32_t slots = 8;
    std::uint32_t cpus = 32;
    std::string queueOrder = "fewest_unstarted_first";
    std::string slotSharing = "loans";
    std::chrono::microseconds zoneDelay {0};
    std::uint32_t ioThreads = 1;
    std::uint32_t targetThreads = 1;
    std::uint32_t teams = 1;
    std::uint32_t maxQueuedTasks = 20000;
    std::uint32_t maxRunningTasks = 100000;
    std::uint32_t carryForwardSeconds = 3600;
};

/// The Society at today's size.
SiteOptions societyOptions();

/// Kavango at today's size.
SiteOptions kavangoOptions();
} // namespace Anvilcart
