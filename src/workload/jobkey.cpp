#include "workload/jobkey.h"

namespace Anvilcart::Fleet
{
namespace
{
/// Ids are hexadecimal digits.
constexpr char Separator = '@';
} // namespace

std::string makeJobKey(std::string_view id, std::string_view route)
{
    std::string key(id);
    if (!route.empty()) {
        key += Separator;
        key += route;
    }
    return key;
}

std::string jobIdOf(std::string_view key)
{
    return std::string(key.substr(0, key.find(Separator)));
}

std::string routeOf(std::string_view key)
{
    const auto separator = key.find(Separator);
    return separator == std::string_view::npos ? std::string() : std::string(key.substr(separator + 1));
}

bool mayBeSameJob(std::string_view left, std::string_view right)
{
    const auto leftRoute = routeOf(left);
    const auto rightRoute = routeOf(right);
    return jobIdOf(left) == jobIdOf(right) && (leftRoute.empty() || rightRoute.empty() || leftRoute == rightRoute);
}
} // namespace Anvilcart::Fleet
