#pragma once

#include "emulator/emulatedfleet.h"

#include <cstdint>
#include <string>

namespace Anvilcart::Emulation
{
/// Adds one to four random faults, chosen by the seed; returns a description with times.
std::string addRandomFaults(EmulatedFleet &fleet, const FleetOptions &options, std::uint64_t seed);
} // namespace Anvilcart::Emulation
