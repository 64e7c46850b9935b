#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace Anvilcart
{
/// The slots of a target that belong to one entry host, computed alike by every host that knows the same members (rendezvous hashing).
/// The shares of all members add up to the slots. 0 when self is not a member. Thread-safe.
std::uint32_t slotShare(const std::string &target, std::uint32_t slots, const std::vector<std::string> &members, const std::string &self);
} // namespace Anvilcart
