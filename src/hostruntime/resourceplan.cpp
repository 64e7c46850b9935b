#include "hostruntime/resourceplan.h"

#include <algorithm>

namespace Anvilcart::Fleet
{
namespace
{
constexpr std::size_t Megabyte = std::size_t(1024) * 1024;
constexpr std::size_t ReservedForFiles = 200;
constexpr std::size_t MinDescriptors = 64;
constexpr std::size_t MaxCallerConnections = 4096;
/// A fleet of 300 hosts has been run; connections of hosts that have failed stay open for a while.
constexpr std::size_t MaxPeerConnections = 1024;
constexpr std::size_t MinAuxiliaryConnections = 8;
constexpr std::size_t MaxAuxiliaryConnections = 64;
/// What an idle connection takes, with its coroutines and timers: 3 KB, and some room.
constexpr std::size_t BytesPerConnection = 8 * 1024;
/// Used where the settings state no memory limit.
constexpr std::size_t DefaultMemoryBytes = 256 * Megabyte;
/// A message between hosts has up to 4 MB.
constexpr std::size_t MinPeerBufferBytes = 8 * Megabyte;
/// Queued tasks have a quarter of the memory, and as much is left for the rest of the process.
constexpr std::size_t ShareOfEachUse = 8;
} // namespace

ResourcePlan
planResources(std::int64_t memoryMb, std::int64_t maxDescriptors, std::size_t descriptors, std::size_t maxBodyBytes, std::size_t bodyCopies)
{
    if (maxDescriptors > 0) {
        descriptors = std::min(descriptors, static_cast<std::size_t>(maxDescriptors));
    }
    const auto usable = std::max(descriptors, ReservedForFiles + MinDescriptors) - ReservedForFiles;
    const auto memory = memoryMb > 0 ? static_cast<std::size_t>(memoryMb) * Megabyte : DefaultMemoryBytes;
    const auto share = memory / ShareOfEachUse;
    ResourcePlan plan;
    plan.callerConnections = std::min({usable / 2, share / BytesPerConnection, MaxCallerConnections});
    plan.peerConnections = std::min(usable / 5, MaxPeerConnections);
    plan.outgoingPeerConnections = std::min(usable / 10, MaxPeerConnections);
    plan.auxiliaryConnections = std::clamp(usable / 64, MinAuxiliaryConnections, MaxAuxiliaryConnections);
    plan.callerBodyBytes = std::max(share, maxBodyBytes * bodyCopies);
    plan.callerHeaderMemory = share;
    plan.peerBufferBytes = std::max(share, MinPeerBufferBytes);
    return plan;
}
} // namespace Anvilcart::Fleet
