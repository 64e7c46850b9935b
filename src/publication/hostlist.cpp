#include "publication/hostlist.h"

#include <boost/json.hpp>

namespace Anvilcart
{
namespace json = boost::json;

namespace
{
constexpr std::string_view EntryRole = "entry";
constexpr std::string_view TargetRole = "target";
constexpr std::string_view LiveState = "live";
constexpr std::string_view LeavingState = "leaving";

json::value encodeEndpoint(const std::optional<Endpoint> &endpoint)
{
    return endpoint ? json::value(toString(*endpoint)) : json::value(nullptr);
}

std::optional<Endpoint> decodeEndpoint(const json::object &object, std::string_view key)
{
    const auto *value = object.if_contains(key);
    return value != nullptr && value->is_string() ? parseEndpoint(value->get_string()) : std::nullopt;
}

HostListEntry decodeHost(const json::object &object)
{
    HostListEntry host;
    host.name = json::value_to<std::string>(object.at("name"));
    host.zone = json::value_to<std::string>(object.at("availability_zone"));
    host.role = object.at("role").as_string() == TargetRole ? HostRole::Target : HostRole::Entry;
    host.state = object.at("state").as_string() == LeavingState ? HostState::Leaving : HostState::Live;
    host.peerEndpoint = decodeEndpoint(object, "peer_door");
    host.operatorEndpoint = decodeEndpoint(object, "operator_door");
    return host;
}
} // namespace

std::vector<Endpoint> HostList::operatorEndpoints() const
{
    std::vector<Endpoint> endpoints;
    for (const auto &host : hosts) {
        if (host.role == HostRole::Entry && host.state == HostState::Live && host.operatorEndpoint) {
            endpoints.push_back(*host.operatorEndpoint);
        }
    }
    return endpoints;
}

std::unordered_set<std::string> HostList::leavingTargets() const
{
    std::unordered_set<std::string> names;
    for (const auto &host : hosts) {
        if (host.role == HostRole::Target && host.state == HostState::Leaving) {
            names.insert(host.name);
        }
    }
    return names;
}

std::string encode(const HostList &list)
{
    json::array hosts;
    for (const auto &host : list.hosts) {
        hosts.push_back(json::object {{"name", host.name},
                                      {"availability_zone", host.zone},
                                      {"role", host.role == HostRole::Target ? TargetRole : EntryRole},
                                      {"state", host.state == HostState::Leaving ? LeavingState : LiveState},
                                      {"peer_door", encodeEndpoint(host.peerEndpoint)},
                                      {"operator_door", encodeEndpoint(host.operatorEndpoint)}});
    }
    return json::serialize(json::object {{"hosts", std::move(hosts)}});
}

std::optional<HostList> decodeHostList(const std::string &body)
{
    try {
        HostList list;
        const auto value = json::parse(body);
        for (const auto &host : value.at("hosts").as_array()) {
            list.hosts.push_back(decodeHost(host.as_object()));
        }
        return list;
    } catch (const std::exception &) {
        return std::nullopt;
    }
}
} // namespace Anvilcart
