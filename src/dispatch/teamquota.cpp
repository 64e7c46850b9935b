#include "dispatch/teamquota.h"

#include <algorithm>
#include <map>

namespace Anvilcart
{
namespace
{
/// A zone's exact part, cut to a whole number, and what was cut off.
struct Part
{
    std::string zone;
    std::uint64_t whole;
    std::uint64_t rest;

    bool operator<(const Part &other) const
    {
        return rest != other.rest ? rest > other.rest : zone < other.zone;
    }
};

std::map<std::string, std::uint64_t> slotsByZone(const Configuration &configuration)
{
    std::map<std::string, std::uint64_t> slots;
    for (const auto &target : configuration.targets) {
        slots[target.zone] += target.slots;
    }
    return slots;
}
} // namespace

std::uint32_t zoneQuota(std::uint32_t quota, const Configuration &configuration, const std::string &zone)
{
    const auto slots = slotsByZone(configuration);
    std::uint64_t total = 0;
    for (const auto &[name, count] : slots) {
        total += count;
    }
    std::vector<Part> parts;
    std::uint64_t left = quota;
    for (const auto &[name, count] : slots) {
        parts.push_back({name, quota * count / total, quota * count % total});
        left -= parts.back().whole;
    }
    std::sort(parts.begin(), parts.end());
    for (std::size_t i = 0; i < parts.size(); ++i) {
        if (parts[i].zone == zone) {
            return static_cast<std::uint32_t>(parts[i].whole + (i < left ? 1 : 0));
        }
    }
    return 0;
}

std::uint32_t hostQuota(std::uint32_t zoneQuota, std::uint32_t entryHosts, const std::vector<std::string> &members, const std::string &self)
{
    const auto heard = static_cast<std::uint32_t>(std::max<std::size_t>(members.size(), 1));
    const auto hosts = std::max(entryHosts, heard);
    const auto whole = zoneQuota / hosts;
    if (entryHosts > 0 && zoneQuota >= hosts) {
        return whole;
    }
    // The rest goes to the first members; a host that does not hear all of them takes none.
    const auto before = std::count_if(members.begin(), members.end(), [&](const std::string &member) {
        return member < self;
    });
    const bool hearsAll = heard == hosts;
    return whole + (hearsAll && static_cast<std::uint32_t>(before) < zoneQuota % hosts ? 1 : 0);
}
} // namespace Anvilcart
