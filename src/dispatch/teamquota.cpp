#include "dispatch/teamquota.h"

#include <algorithm>
#include <map>

namespace Anvilcart
{
namespace
{
/// A zone's part of a quota, rounded down, and the remainder of the division.
struct ZonePart
{
    std::string zone;
    std::uint64_t quotient;
    std::uint64_t remainder;

    bool operator<(const ZonePart &other) const
    {
        return remainder != other.remainder ? remainder > other.remainder : zone < other.zone;
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
    std::vector<ZonePart> parts;
    std::uint64_t left = quota;
    for (const auto &[name, count] : slots) {
        parts.push_back({name, quota * count / total, quota * count % total});
        left -= parts.back().quotient;
    }
    std::sort(parts.begin(), parts.end());
    for (std::size_t i = 0; i < parts.size(); ++i) {
        if (parts[i].zone == zone) {
            return static_cast<std::uint32_t>(parts[i].quotient + (i < left ? 1 : 0));
        }
    }
    return 0;
}

std::uint32_t hostQuota(std::uint32_t zoneQuota, std::uint32_t entryHosts, const std::vector<std::string> &members, const std::string &self)
{
    const auto liveMembers = static_cast<std::uint32_t>(std::max<std::size_t>(members.size(), 1));
    const auto hosts = std::max(entryHosts, liveMembers);
    const auto quotient = zoneQuota / hosts;
    if (entryHosts > 0 && zoneQuota >= hosts) {
        return quotient;
    }
    // The remainder goes to the first members in order of name; a host that does not see all members gets none of it.
    const auto rank = std::count_if(members.begin(), members.end(), [&](const std::string &member) {
        return member < self;
    });
    const bool seesAllMembers = liveMembers == hosts;
    return quotient + (seesAllMembers && static_cast<std::uint32_t>(rank) < zoneQuota % hosts ? 1 : 0);
}
} // namespace Anvilcart
