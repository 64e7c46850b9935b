#include "emulator/emulatedfleet.h"
#include "emulator/fleetpresets.h"

#include <boost/test/unit_test.hpp>

#include <optional>
#include <random>
#include <string>
#include <vector>

using namespace Anvilcart;
using namespace Anvilcart::Emulation;

namespace
{
constexpr Seconds LossAt {4};
constexpr Seconds DownFor {1};
constexpr Milliseconds StartSpread {450};

FleetOptions optionsOfSixPools(std::uint64_t seed)
{
    auto options = optionsOfOrdinaryFleet(seed);
    options.hasConnections = true;
    options.hostZones.clear();
    for (const std::string zone : {"a", "b", "c"}) {
        options.hostZones.insert(options.hostZones.end(), 5, zone);
    }
    options.targetsPerZone = 80;
    for (auto &kind : options.kinds) {
        kind.jobsPerSecond *= 7;
    }
    return options;
}

/// What followed the loss of all hosts.
struct Restart
{
    /// Claims of pools after the loss.
    std::size_t poolClaims = 0;
    Duration firstClaimAfter {0};
    /// From the start of the first process to the first start of a task.
    Duration firstRunAfter {0};
    std::uint64_t fencedStarts = 0;
    std::size_t submitted = 0;
    std::size_t inObjective = 0;
};

/// All hosts lose power and start again within half a second. For 1.5 s from the first start each of them reads what arrives this much
/// late, as a process does whose processor time is used up.
Restart restartAllHosts(std::uint64_t seed, Duration longestReadDelay)
{
    const auto options = optionsOfSixPools(seed);
    EmulatedFleet fleet(options);
    Restart result;
    std::optional<Duration> firstClaim;
    fleet.setClaimHandler([&](std::size_t, Duration at) {
        if (at > LossAt) {
            ++result.poolClaims;
            firstClaim = firstClaim.value_or(at);
        }
    });
    std::mt19937_64 random(seed * 3181 + 29);
    for (std::size_t host = 0; host < options.hostZones.size(); ++host) {
        const auto downFor = DownFor + Milliseconds(host == 0 ? 0 : random() % (StartSpread.count() + 1));
        fleet.killHost(host, LossAt, downFor);
        const auto delay = std::chrono::microseconds(
            random() % static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(longestReadDelay).count() + 1));
        fleet.delayReads(host, delay, LossAt + DownFor, Milliseconds(1500));
    }
    const auto firstStart = Duration(LossAt + DownFor);
    fleet.run(firstStart, firstStart + Seconds(2), firstStart + Seconds(8));
    result.firstClaimAfter = firstClaim.value_or(Duration(0)) - firstStart;
    result.firstRunAfter = fleet.invariants().firstRunStartedAt().value_or(Duration(0)) - firstStart;
    result.fencedStarts = fleet.invariants().fencedStartCount();
    for (const auto &[route, kind] : fleet.results()) {
        result.submitted += kind.submitted;
        result.inObjective += kind.inObjective;
    }
    BOOST_TEST(fleet.invariants().violations() == std::vector<std::string>(), boost::test_tools::per_element());
    const auto ms = [](Duration time) {
        return std::chrono::duration_cast<Milliseconds>(time).count();
    };
    BOOST_TEST_MESSAGE("seed " << seed << " read delay " << ms(longestReadDelay) << " pool claims " << result.poolClaims << " first claim "
                               << ms(result.firstClaimAfter) << " first run " << ms(result.firstRunAfter) << " fenced "
                               << result.fencedStarts << " in objective " << result.inObjective << " of " << result.submitted);
    return result;
}
} // namespace

BOOST_AUTO_TEST_SUITE(AllHostsLostSuite, *boost::unit_test::label("emulator"))

BOOST_AUTO_TEST_CASE(Pools_are_claimed_once_after_all_hosts_have_restarted)
{
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        const auto result = restartAllHosts(seed, Milliseconds(0));
        BOOST_TEST(result.poolClaims == 6);
        BOOST_TEST(result.fencedStarts == 0);
        BOOST_TEST((result.firstRunAfter < Milliseconds(600)));
    }
}

// Hosts whose echoes come late claimed the pools of others: 72 claims of 6 pools and 2,368 fenced starts in these four seeds, where
// 36 and 404 are left.
BOOST_AUTO_TEST_CASE(Few_pools_are_claimed_again_when_hosts_read_late_after_their_restart)
{
    std::size_t poolClaims = 0;
    std::uint64_t fencedStarts = 0;
    for (std::uint64_t seed = 1; seed <= 4; ++seed) {
        const auto result = restartAllHosts(seed, Milliseconds(200));
        poolClaims += result.poolClaims;
        fencedStarts += result.fencedStarts;
    }
    BOOST_TEST(poolClaims <= 50);
    BOOST_TEST(fencedStarts <= 1000);
}

// Prints figures; run it with --log_level=message.
BOOST_AUTO_TEST_CASE(No_invariant_is_violated_after_all_hosts_have_restarted)
{
    for (const auto readDelay : {0, 100, 200, 250, 300}) {
        for (std::uint64_t seed = 5; seed <= 8; ++seed) {
            restartAllHosts(seed, Milliseconds(readDelay));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
