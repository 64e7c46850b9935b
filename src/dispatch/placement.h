#pragma once

#include "dispatch/interfaces/targetport.h"

#include <cstdint>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace Anvilcart
{
/// A target that could run the next task, and its use of slots.
struct PlacementCandidate
{
    TargetIndex target = 0;
    std::uint32_t used = 0;
    std::uint32_t usable = 1;
};

/// Chooses the target with the smallest ratio of used to usable slots; the first one among equals.
struct LeastUsedPlacement
{
};

/// Chooses the less used of two random targets. This is the baseline without any knowledge of the other hosts.
struct TwoRandomChoicesPlacement
{
    std::minstd_rand random;
};

using Placement = std::variant<LeastUsedPlacement, TwoRandomChoicesPlacement>;

/// Creates the placement for a kind of slot sharing. Random choices are seeded with the host name. Thread-safe.
Placement makePlacement(SlotSharingKind sharing, const std::string &host);

/// Chooses one of the candidates. Precondition: there is at least one. Not thread-safe: random choices change the placement.
TargetIndex choose(Placement &placement, const std::vector<PlacementCandidate> &candidates);
} // namespace Anvilcart
