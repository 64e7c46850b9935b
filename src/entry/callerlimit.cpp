#include "entry/callerlimit.h"

#include "workload/route.h"

#include <boost/lexical_cast/try_lexical_convert.hpp>

#include <algorithm>
#include <cstdint>

namespace Anvilcart::Fleet
{
namespace
{
/// Assumed for callers that tell no limit on a route without one.
constexpr Milliseconds DefaultLimit {30000};
/// Nobody waits longer for tasks that take less than a second; keeps times far from overflow.
constexpr Milliseconds LongestLimit {3600 * 1000};
} // namespace

Milliseconds callerLimit(std::string_view told, const Route &route)
{
    std::int64_t limit = 0;
    if (boost::conversion::try_lexical_convert(told, limit) && limit > 0) {
        return std::min(Milliseconds(limit), LongestLimit);
    }
    return route.timeout.count() > 0 ? route.timeout : DefaultLimit;
}
} // namespace Anvilcart::Fleet
