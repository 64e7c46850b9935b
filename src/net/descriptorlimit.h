#pragma once

#include <cstddef>

namespace Anvilcart
{
/// Descriptors that this process may open at once. Thread-safe.
std::size_t descriptorLimit();

/// Connections of one endpoint in a process that has no settings for it: half of the descriptors that are not reserved for files, and at
/// most the default of HttpLimits. Thread-safe.
std::size_t defaultDoorConnections();
} // namespace Anvilcart
