#pragma once

#include "emulator/emulatedfleet.h"

#include <string>
#include <vector>

namespace Anvilcart::Emulation
{
/// Kinds of jobs like those that the users described: short wide ones, middling ones and long ones, at three quarters of the room.
std::vector<JobKind> ordinaryKinds();

/// The same kinds, of callers that wait for 2 s and three objectives of their job, as the users' callers do.
std::vector<JobKind> patientKinds();

/// Load at its worst: for 8 s half as many jobs again, while a sixth of the targets is 4.7 times slower. Returns what and when.
std::string addWorstLoad(EmulatedFleet &fleet);

/// The worst seconds of the users' days: for 4 s half as many jobs again, of the middling kind twice as many as that. Returns what and
/// when.
std::string addBurst(EmulatedFleet &fleet);

/// Adds up to four faults, drawn from the seed; returns what and when.
std::string addTroubles(EmulatedFleet &fleet, const FleetOptions &options, std::uint64_t seed);
} // namespace Anvilcart::Emulation
