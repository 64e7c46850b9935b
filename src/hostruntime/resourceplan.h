#pragma once

#include <cstddef>
#include <cstdint>

namespace Anvilcart::Fleet
{
/// Shares of a host's memory and descriptors that its clients may occupy. The rest is left to the host's own work: queued tasks, and its
/// connections to targets, other hosts and the store.
struct ResourcePlan
{
    std::size_t callerConnections = 0;
    /// Bodies of callers' requests until they are answered.
    std::size_t callerBodyBytes = 0;
    /// Header fields and read buffers of callers' requests.
    std::size_t callerHeaderMemory = 0;
    /// Of the readiness endpoint and of the metrics endpoint, each.
    std::size_t auxiliaryConnections = 0;
    /// Connections that other hosts open.
    std::size_t peerConnections = 0;
    /// Connections that the host opens to other hosts.
    std::size_t outgoingPeerConnections = 0;
    /// Incomplete messages of other hosts.
    std::size_t peerBufferBytes = 0;
};

/// Divides the limits of the settings, of which 0 means none. descriptors is the number that the process may open. A body of maxBodyBytes
/// fits in any plan, counted bodyCopies times. Thread-safe.
ResourcePlan planResources(
    std::int64_t memoryMb, std::int64_t maxDescriptors, std::size_t descriptors, std::size_t maxBodyBytes, std::size_t bodyCopies);
} // namespace Anvilcart::Fleet
