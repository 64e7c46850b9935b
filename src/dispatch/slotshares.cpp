#include "dispatch/slotshares.h"

#include <xxhash.h>

#include <algorithm>

namespace Anvilcart
{
namespace
{
std::uint64_t rendezvousWeight(const std::string &target, const std::string &member)
{
    const auto seed = XXH3_64bits(target.data(), target.size());
    return XXH3_64bits_withSeed(member.data(), member.size(), seed);
}
} // namespace

std::uint32_t slotShare(const std::string &target, std::uint32_t slots, const std::vector<std::string> &members, const std::string &self)
{
    if (std::find(members.begin(), members.end(), self) == members.end()) {
        return 0;
    }
    const auto ownWeight = rendezvousWeight(target, self);
    const auto rank = std::count_if(members.begin(), members.end(), [&](const std::string &member) {
        const auto weight = rendezvousWeight(target, member);
        return weight > ownWeight || (weight == ownWeight && member < self);
    });
    const auto count = static_cast<std::uint32_t>(members.size());
    const std::uint32_t remainder = slots % count;
    return slots / count + (static_cast<std::uint32_t>(rank) < remainder ? 1 : 0);
}
} // namespace Anvilcart
