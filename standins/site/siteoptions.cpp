#include "site/siteoptions.h"

namespace Anvilcart
{
namespace
{
constexpr std::uint32_t TodaysTargetsPerZone = 17;
constexpr std::chrono::microseconds TodaysZoneDelay {1400};
} // namespace

SiteOptions societyOptions()
{
    SiteOptions options;
    options.name = "society";
    options.zones = {"fraser", "island", "sunshine"};
    options.targetsPerZone = TodaysTargetsPerZone;
    options.zoneDelay = TodaysZoneDelay;
    return options;
}

SiteOptions kavangoOptions()
{
    auto options = societyOptions();
    options.name = "kavango";
    options.zones = {"windhoek-north", "okahandja", "rehoboth"};
    options.cpus = 64;
    return options;
}
} // namespace Anvilcart
