#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Anvilcart
{
/// The number of slots of a target that belong to the entry host self, by rendezvous hashing: all hosts that know the same members compute
/// the same shares. The shares of all members add up to the slots. 0 if self is not a member. Thread-safe.
std::uint32_t slotShare(const std::string &target, std::uint32_t slots, const std::vector<std::string> &members, const std::string &self);
} // namespace Anvilcart
