#include "emulator/emulatedfleet.h"
#include "emulator/faultscenarios.h"
#include "emulator/fleetpresets.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace Anvilcart;
using namespace Anvilcart::Emulation;

namespace
{
void requireNoViolations(const EmulatedFleet &fleet)
{
    for (const auto &line : fleet.invariants().violations()) {
        BOOST_ERROR(line);
    }
}

/// The shares of all jobs that were served within the objective, and that were neither served nor refused.
struct Shares
{
    double inObjective = 0;
    double unanswered = 0;
};

Shares sharesOf(const EmulatedFleet &fleet)
{
    double submitted = 0;
    Shares shares;
    for (const auto &[route, result] : fleet.results()) {
        submitted += static_cast<double>(result.submitted);
        shares.inObjective += static_cast<double>(result.inObjective);
        shares.unanswered += static_cast<double>(result.unanswered);
    }
    shares.inObjective /= submitted;
    shares.unanswered /= submitted;
    return shares;
}

FleetOptions withHalfOfTheLoad(FleetOptions options)
{
    for (auto &kind : options.kinds) {
        kind.jobsPerSecond /= 2;
    }
    return options;
}
} // namespace

BOOST_AUTO_TEST_SUITE(EmulatedEvacuationSuite, *boost::unit_test::label("emulator"))

// Guards against starts in an evacuated zone later than the bound, by a host that restarts, by one that returns from a cut, and by one that
// takes over a pool meanwhile.
BOOST_AUTO_TEST_CASE(No_task_starts_in_an_evacuated_zone_after_the_bound)
{
    for (std::uint64_t seed = 1; seed <= 16; ++seed) {
        const auto options = optionsOfEvacuation(seed);
        EmulatedFleet fleet(options);
        const auto faults = addEvacuation(fleet, options, seed);
        BOOST_TEST_CONTEXT("seed " << seed << ": " << faults)
        {
            fleet.run(Seconds(3), Seconds(23), Seconds(28));
            requireNoViolations(fleet);
            BOOST_TEST(fleet.invariants().startedRunCount() > 0U);
        }
    }
}

// Guards against jobs that wait for capacity of the evacuated zone, or are sent back and forth between dispatchers: two thirds of the
// capacity are enough for this load.
BOOST_AUTO_TEST_CASE(Jobs_are_served_by_the_other_zones)
{
    for (const std::uint64_t seed : {1U, 2U}) {
        BOOST_TEST_CONTEXT("seed " << seed)
        {
            EmulatedFleet fleet(withHalfOfTheLoad(optionsOfEvacuation(seed)));
            fleet.evacuateZone("b", Seconds(6), Seconds(12), Duration(0));
            fleet.run(Seconds(3), Seconds(23), Seconds(28));
            requireNoViolations(fleet);
            const auto shares = sharesOf(fleet);
            BOOST_TEST(shares.inObjective > 0.9);
            BOOST_TEST(shares.unanswered < 0.01);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
