#include "emulator/emulatedfleet.h"
#include "emulator/fleetpresets.h"

#include <boost/test/unit_test.hpp>

#include <cstdint>
#include <string>

using namespace Anvilcart;
using namespace Anvilcart::Emulation;

namespace
{
constexpr Seconds FirstCallers {3};
constexpr Seconds LastCallers {13};
constexpr Seconds End {18};
/// A loss follows when the hosts have agreed on the pools again.
constexpr Seconds BetweenLosses {3};
constexpr Milliseconds DownFor {1500};

void checkResults(EmulatedFleet &fleet, std::uint64_t seed)
{
    BOOST_TEST_CONTEXT("seed " << seed)
    {
        fleet.run(FirstCallers, LastCallers, End);
        for (const auto &violation : fleet.invariants().violations()) {
            BOOST_TEST_ERROR(violation);
        }
        std::size_t completed = 0;
        for (const auto &[route, result] : fleet.results()) {
            completed += result.inObjective + result.late + result.overdue;
        }
        BOOST_TEST(completed > 0U);
    }
}
} // namespace

BOOST_AUTO_TEST_SUITE(SharedIdsSuite, *boost::unit_test::label("emulator"))

// review/14: the job of one route was completed by the runs of another one with its id, after the loss of their dispatcher.
BOOST_AUTO_TEST_CASE(Each_caller_gets_the_result_of_its_own_job_when_dispatchers_are_lost)
{
    for (const std::uint64_t seed : {1, 2, 3}) {
        EmulatedFleet fleet(optionsOfSharedIds(seed));
        for (auto at = FirstCallers + BetweenLosses; at < LastCallers; at += BetweenLosses) {
            fleet.callWithDispatchers(at, [&fleet, at](const std::vector<std::size_t> &dispatchers) {
                fleet.killHost(dispatchers.empty() ? 0 : dispatchers.front(), at, DownFor);
            });
        }
        checkResults(fleet, seed);
    }
}

// The same when dispatchers hand their pools over, and when all of them are lost.
BOOST_AUTO_TEST_CASE(Each_caller_gets_the_result_of_its_own_job_when_dispatchers_stop_or_all_are_lost)
{
    for (const std::uint64_t seed : {4, 5}) {
        EmulatedFleet fleet(optionsOfSharedIds(seed));
        fleet.callWithDispatchers(FirstCallers + BetweenLosses, [&fleet](const std::vector<std::size_t> &dispatchers) {
            for (const auto host : dispatchers) {
                fleet.stopHost(host, FirstCallers + BetweenLosses, DownFor);
            }
        });
        const auto lossAt = FirstCallers + 2 * BetweenLosses;
        fleet.callWithDispatchers(lossAt, [&fleet, lossAt](const std::vector<std::size_t> &dispatchers) {
            for (const auto host : dispatchers) {
                fleet.killHost(host, lossAt, DownFor);
            }
        });
        checkResults(fleet, seed);
    }
}

BOOST_AUTO_TEST_SUITE_END()
