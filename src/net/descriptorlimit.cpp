#include "net/descriptorlimit.h"

#include "net/httpserver.h"

#include <algorithm>
#include <limits>
#include <sys/resource.h>

namespace Anvilcart
{
std::size_t descriptorLimit()
{
    rlimit limit {};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
        return std::numeric_limits<std::size_t>::max();
    }
    return limit.rlim_cur;
}

std::size_t defaultDoorConnections()
{
    constexpr std::size_t ReservedForFiles = 200;
    constexpr std::size_t MinConnections = 32;
    const auto limit = std::max(descriptorLimit(), ReservedForFiles) - ReservedForFiles;
    return std::clamp(limit / 2, MinConnections, HttpLimits().connections);
}
} // namespace Anvilcart
