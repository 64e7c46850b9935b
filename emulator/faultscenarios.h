#pragma once

#include "emulator/emulatedfleet.h"

#include <cstdint>
#include <string>

namespace Anvilcart::Emulation
{
/// For 8 s, load is 1.5 times as high, and a sixth of the targets is 4.7 times slower. Returns a description with times.
std::string addWorstLoad(EmulatedFleet &fleet);

/// A load that the capacity does not cover, for some seconds.
struct Overload
{
    Duration at {0};
    Duration length {0};
    /// Multiplies the rates of all kinds.
    double loadFactor = 1;
    /// The first targets of the first zone take this many times as long.
    std::size_t slowTargets = 0;
    double slowFactor = 1;
};

/// Before this time, refusals are answered as unknown, since hosts that have started lately do not know what ran before.
constexpr Seconds OverloadCallersFrom {17};

/// The overload of a seed: 1.3 to 2.5 times the load for 4 to 8 s, while 5 to 15% of the targets are 2 to 5 times slower.
Overload overloadOf(const FleetOptions &options, std::uint64_t seed);

/// Adds overloadOf(). Returns a description with times.
std::string addOverload(EmulatedFleet &fleet, const FleetOptions &options, std::uint64_t seed);

/// The highest load that the users reported: for 4 s, load is 1.5 times as high, and that of the middle kind 3 times. Returns a
/// description with times.
std::string addLoadBurst(EmulatedFleet &fleet);

/// The operator evacuates one zone under load for 9 s. Meanwhile one host restarts, and another one returns from a cut from the store and
/// all other hosts that began before. For every other seed the targets are cold afterwards. Returns a description with times.
std::string addEvacuation(EmulatedFleet &fleet, const FleetOptions &options, std::uint64_t seed);

/// For 12 s, three requests to targets in ten get no answer and act 2 to 12 s later. Returns a description with times.
std::string addUnansweredOrders(EmulatedFleet &fleet);

/// Some jobs crash each target that starts them, as on the users' day. Returns a description with times.
std::string addCrashingJobs(EmulatedFleet &fleet, Duration at, Duration length);

/// Crashing jobs, targets whose capacity shrinks and grows, and random faults, chosen by the seed; returns a description with times.
std::string addCrashesAndFaults(EmulatedFleet &fleet, const FleetOptions &options, std::uint64_t seed);

/// Targets restart several times, partly while they are cut off; a share of the requests to targets takes effect seconds late. Returns a
/// description with times.
std::string addRestartingTargets(EmulatedFleet &fleet, double lateShare, std::uint64_t seed);

/// Hosts are cut off from single others in one direction, and paused; the load is above the capacity, so that jobs wait at dispatchers.
/// Returns a description with times.
std::string addLossesOfSight(EmulatedFleet &fleet, const FleetOptions &options, std::uint64_t seed);

/// The links of one zone fail for 0.6 s and come back for 0.15 s, over and over. Returns a description with times.
std::string addFlappingZone(EmulatedFleet &fleet, const FleetOptions &options, std::uint64_t seed);

/// One zone is cut off from the hosts and targets of the others for 0.4 to 1.7 s and comes back for 0.1 to 0.9 s, over and over. Returns a
/// description with times.
std::string addZoneCuts(EmulatedFleet &fleet, const FleetOptions &options, std::uint64_t seed);

/// Callers lose their connections and send their jobs again, while single hosts are cut off from each other. Returns a description with
/// times.
std::string addResubmissions(EmulatedFleet &fleet, const FleetOptions &options, std::uint64_t seed);

/// Callers lose their connections and send their jobs again, while hosts read half of the jobs and of the ends of connections late, and
/// single hosts read all that arrives late. Returns a description with times.
std::string addLateReads(EmulatedFleet &fleet, const FleetOptions &options, std::uint64_t seed);

/// As addResubmissions() with cuts of 0.75 to 2 s, so that jobs are taken from dispatchers that are out of sight and handed on. Returns a
/// description with times.
std::string addResubmissionsOfHandedOnJobs(EmulatedFleet &fleet, const FleetOptions &options, std::uint64_t seed);

/// Single hosts are cut off from all other hosts for 0.6 s, one after the other. Returns a description with times.
std::string addShortHostCuts(EmulatedFleet &fleet, const FleetOptions &options, std::uint64_t seed);

/// Pairs of hosts stand still for 0.55 s, one pair after the other. Returns a description with times.
std::string addShortFreezes(EmulatedFleet &fleet, const FleetOptions &options, std::uint64_t seed);

/// Zones and hosts are cut off from the others for 0.4 to 3.6 s, one after the other; meanwhile or right after it, the hosts of one zone,
/// on either side of the cut, are killed or stopped one after the other and started again. Returns a description with times.
std::string addLateFrames(EmulatedFleet &fleet, const FleetOptions &options, std::uint64_t seed);
} // namespace Anvilcart::Emulation
