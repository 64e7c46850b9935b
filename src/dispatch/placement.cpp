#include "dispatch/placement.h"

#include <xxhash.h>

#include <algorithm>

namespace Anvilcart
{
namespace
{
/// Compares the ratios of used to usable slots by cross-multiplication, which needs no division.
bool isLessUsed(const PlacementCandidate &left, const PlacementCandidate &right)
{
    return static_cast<std::uint64_t>(left.used) * right.usable < static_cast<std::uint64_t>(right.used) * left.usable;
}

/// Chooses a candidate for each type of placement.
struct ChooseVisitor
{
    const std::vector<PlacementCandidate> &candidates;

    TargetIndex operator()(LeastUsedPlacement &) const
    {
        return std::min_element(candidates.begin(), candidates.end(), isLessUsed)->target;
    }

    TargetIndex operator()(TwoRandomChoicesPlacement &placement) const
    {
        std::uniform_int_distribution<std::size_t> index(0, candidates.size() - 1);
        const auto &first = candidates[index(placement.random)];
        const auto &second = candidates[index(placement.random)];
        return isLessUsed(second, first) ? second.target : first.target;
    }
};
} // namespace

Placement makePlacement(SlotSharingKind sharing, const std::string &host)
{
    if (sharing != SlotSharingKind::BlindPush) {
        return LeastUsedPlacement();
    }
    const auto seed = static_cast<std::uint32_t>(XXH3_64bits(host.data(), host.size()));
    return TwoRandomChoicesPlacement {std::minstd_rand(seed)};
}

TargetIndex choose(Placement &placement, const std::vector<PlacementCandidate> &candidates)
{
    return std::visit(ChooseVisitor {candidates}, placement);
}
} // namespace Anvilcart
