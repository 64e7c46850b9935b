#pragma once

#include <cstddef>

namespace Anvilcart
{
/// Descriptors that this process may open at once. Thread-safe.
std::size_t descriptorLimit();

/// Connections of one endpoint in a process that has no settings for it: half of the descriptors that are not reserved for files, and at
/// most the default of HttpLimits. Thread-safe.
std::size_t defaultDoorConnections();

/// Connections that other hosts may open to such a process: a fifth of those descriptors, and at most 1,024. Thread-safe.
std::size_t defaultPeerConnections();
} // namespace Anvilcart
