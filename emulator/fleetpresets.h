#pragma once

#include "emulator/emulatedfleet.h"

#include <cstdint>
#include <vector>

namespace Anvilcart::Emulation
{
/// Kinds of jobs as the users described them: short jobs with many tasks, middle ones and long ones, which use three quarters of the
/// capacity.
std::vector<JobKind> ordinaryJobKinds();

/// The same kinds, with callers that wait for 2 s plus three times the objective of their job, as the users' callers do.
std::vector<JobKind> longTimeoutJobKinds();

/// A fleet of the default size, with callers that wait long.
FleetOptions optionsOfOrdinaryFleet(std::uint64_t seed);

/// A fleet with one pool for all zones, whose dispatcher has targets in each of them, and with runs longer than a lease.
FleetOptions optionsOfOnePool(std::uint64_t seed);

/// A fleet with so many targets that each zone's are a pool of their own, so that several hosts dispatch.
FleetOptions optionsOfSeveralPools(std::uint64_t seed);

/// A fleet with one pool for all zones, or of several pools for every other pair of seeds, whose settings have a bound for evacuations.
FleetOptions optionsOfEvacuation(std::uint64_t seed);

/// A fleet of several pools, where the runs of some jobs take longer than their callers wait before they send a job again.
FleetOptions optionsOfLongRuns(std::uint64_t seed);

/// A fleet for a series of faults, where jobs of different routes share ids.
FleetOptions optionsOfSharedIds(std::uint64_t seed);

/// An ordinary fleet at three fifths of its capacity. Half of the work has its data on two of the six racks, and a quarter are rack-local
/// steps; the rest runs anywhere.
FleetOptions optionsOfHotRacks(std::uint64_t seed);

/// The same with 1.4 times the load.
FleetOptions optionsOfHotRacksAtHighLoad(std::uint64_t seed);

/// An ordinary fleet for half of the seeds, and one of several pools for the others, for half of these with long runs. All callers wait
/// long.
FleetOptions optionsOfFaultSeries(std::uint64_t seed);

/// The kinds of work of the two customers, on 36 targets of 16 cores, each of which has room for two tasks. The rates are about a tenth of
/// theirs, which takes two thirds of the capacity.
FleetOptions optionsOfScarceCapacity(std::uint64_t seed);

/// The same on 75 targets in several pools, with rates in proportion.
FleetOptions optionsOfScarceCapacityInPools(std::uint64_t seed);

/// A fleet of several pools and long runs, with connections between hosts.
FleetOptions optionsOfLateFrames(std::uint64_t seed);
} // namespace Anvilcart::Emulation
