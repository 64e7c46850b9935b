#include "workload/routetable.h"

#include <algorithm>
#include <utility>

namespace Anvilcart::Fleet
{
RouteTable::RouteTable(PublishedConfiguration configuration)
    : m_configuration(std::move(configuration))
{
    for (const auto &route : m_configuration.routes) {
        m_byHost[route.host].push_back(&route);
    }
    for (auto &[host, routes] : m_byHost) {
        std::stable_sort(routes.begin(), routes.end(), [](const Route *left, const Route *right) {
            return left->pathPrefix.size() > right->pathPrefix.size();
        });
    }
}

std::uint64_t RouteTable::version() const
{
    return m_configuration.version;
}

const CallerHttpLimits &RouteTable::limits() const
{
    return m_configuration.limits;
}

std::size_t RouteTable::size() const
{
    return m_configuration.routes.size();
}

const Route *RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto found = m_byHost.find(std::string(host.substr(0, host.find(':'))));
    if (found == m_byHost.end()) {
        return nullptr;
    }
    for (const auto *route : found->second) {
        if (path.starts_with(route->pathPrefix)) {
            return route;
        }
    }
    return nullptr;
}
} // namespace Anvilcart::Fleet
