#include "entry/callerlimit.h"

#include "workload/route.h"

#include <boost/lexical_cast/try_lexical_convert.hpp>

#include <algorithm>
#include <cstdint>

namespace Anvilcart::Fleet
{
namespace
{
/// Used when neither the caller nor the route sets a timeout.
constexpr Milliseconds DefaultLimit {30000};
/// No caller waits longer than this for tasks that take less than a second; also keeps time arithmetic far from overflow.
constexpr Milliseconds MaxLimit {3600 * 1000};
} // namespace

Milliseconds callerLimit(std::string_view requested, const Route &route)
{
    std::int64_t limitMs = 0;
    if (boost::conversion::try_lexical_convert(requested, limitMs) && limitMs > 0) {
        return std::min(Milliseconds(limitMs), MaxLimit);
    }
    return route.timeout.count() > 0 ? route.timeout : DefaultLimit;
}
} // namespace Anvilcart::Fleet
