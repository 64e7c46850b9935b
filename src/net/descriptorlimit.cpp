#include "net/descriptorlimit.h"

#include "net/httpserver.h"

#include <algorithm>
#include <limits>
#include <sys/resource.h>

namespace Anvilcart
{
namespace
{
/// Descriptors that are not reserved for files.
std::size_t usableDescriptors()
{
    constexpr std::size_t ReservedForFiles = 200;
    return std::max(descriptorLimit(), ReservedForFiles) - ReservedForFiles;
}
} // namespace

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
    constexpr std::size_t MinConnections = 32;
    return std::clamp(usableDescriptors() / 2, MinConnections, HttpLimits().connections);
}

std::size_t defaultPeerConnections()
{
    constexpr std::size_t MinConnections = 32;
    constexpr std::size_t MaxConnections = 1024;
    return std::clamp(usableDescriptors() / 5, MinConnections, MaxConnections);
}
} // namespace Anvilcart
