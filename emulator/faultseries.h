#pragma once

#include "emulator/emulatedfleet.h"

#include <cstdint>
#include <string>

namespace Anvilcart::Emulation
{
/// Adds two or three overlapping series of short faults, chosen by the seed, each of one kind. Some faults strike just after another one
/// has ended or, for half of the seeds, hosts that have just claimed a pool. Returns a description with the times that are known before the
/// run.
std::string addFaultSeries(EmulatedFleet &fleet, const FleetOptions &options, std::uint64_t seed);

/// Adds a series of staggered losses: a host ends, and within 0.9 s a dispatcher of its jobs ends, stands still or is cut off. Callers send
/// their jobs again also after an unknown outcome. For half of the seeds, a series of another kind is added. Returns a description with the
/// times that are known before the run.
std::string addStaggeredLosses(EmulatedFleet &fleet, const FleetOptions &options, std::uint64_t seed);
} // namespace Anvilcart::Emulation
