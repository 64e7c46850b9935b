#pragma once

#include "workload/route.h"

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace Anvilcart::Fleet
{
/// Finds the route of a request. Immutable, so thread-safe.
class RouteTable
{
public:
    RouteTable() = default;
    explicit RouteTable(PublishedConfiguration configuration);

    std::uint64_t version() const;
    const CallerHttpLimits &limits() const;
    std::size_t size() const;

    /// Returns the route of this host with the longest prefix that path begins with; null when no route matches. Ignores a port in host.
    const Route *find(std::string_view host, std::string_view path) const;

private:
    PublishedConfiguration m_configuration;
    /// Routes by host, longest prefix first.
    std::unordered_map<std::string, std::vector<const Route *>> m_byHost;
};
} // namespace Anvilcart::Fleet
