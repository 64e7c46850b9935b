#pragma once

#include "dispatch/interfaces/targetport.h"

#include <cstdint>
#include <random>
#include <string>
#include <variant>
#include <vector>

namespace Anvilcart
{
/// A target that could take the next task, and how full it is.
struct PlacementCandidate
{
    TargetIndex target = 0;
    std::uint32_t used = 0;
    std::uint32_t usable = 1;
};

/// The target with the smallest part of its usable slots in use; the first of equal ones.
struct LeastUsedPlacement
{
};

/// The less used of two targets drawn at random: the baseline that knows nothing of the other hosts.
struct TwoRandomChoicesPlacement
{
    std::minstd_rand random;
};

using Placement = std::variant<LeastUsedPlacement, TwoRandomChoicesPlacement>;

/// The placement that belongs to the way of sharing slots; random draws are seeded by the host's name. Thread-safe.
Placement makePlacement(SlotSharingKind sharing, const std::string &host);

/// Chooses among the candidates. Precondition: there is one. Not thread-safe: random choices advance the placement.
TargetIndex choose(Placement &placement, const std::vector<PlacementCandidate> &candidates);
} // namespace Anvilcart
