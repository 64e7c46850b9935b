#pragma once

#include "model/endpoint.h"

#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

namespace Anvilcart
{
/// Whether a host is an entry host or a target.
enum class HostRole {
    Entry,
    Target,
};

/// The state of a host as reported by the platform.
enum class HostState {
    Live,
    Leaving,
};

/// A host in the platform's host list.
struct HostListEntry
{
    std::string name;
    std::string zone;
    HostRole role = HostRole::Entry;
    HostState state = HostState::Live;
    /// The peer endpoint of an entry host; empty for a target.
    std::optional<Endpoint> peerEndpoint;
    /// The operator endpoint of an entry host; empty for a target.
    std::optional<Endpoint> operatorEndpoint;
};

/// A snapshot of the platform's list of live and leaving hosts.
struct HostList
{
    std::vector<HostListEntry> hosts;

    /// The operator endpoints of the live entry hosts in all availability zones. Thread-safe.
    std::vector<Endpoint> operatorEndpoints() const;

    /// The names of the leaving targets. Thread-safe.
    std::unordered_set<std::string> leavingTargets() const;
};

/// Encodes a host list as the JSON body of the platform's response. Thread-safe.
std::string encode(const HostList &list);

/// Decodes a body written by encode(); returns nothing if it is malformed. Thread-safe.
std::optional<HostList> decodeHostList(const std::string &body);
} // namespace Anvilcart
