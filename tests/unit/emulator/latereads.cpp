#include "emulator/emulatedfleet.h"
#include "emulator/faultscenarios.h"
#include "emulator/fleetpresets.h"

#include <boost/test/unit_test.hpp>

#include <cstdint>

using namespace Anvilcart;
using namespace Anvilcart::Emulation;

BOOST_AUTO_TEST_SUITE(LateReadsSuite)

// Issue 51: hosts started jobs whose callers had closed their connections and sent the jobs again over other hosts.
BOOST_AUTO_TEST_CASE(No_task_runs_twice_when_hosts_read_jobs_of_callers_that_have_gone)
{
    for (const std::uint64_t seed : {51001, 51002, 51003, 51004}) {
        const auto options = optionsOfLongRuns(seed);
        EmulatedFleet fleet(options);
        const auto faults = addLateReads(fleet, options, seed);
        BOOST_TEST_CONTEXT("seed " << seed << ": " << faults)
        {
            fleet.run(Seconds(3), Seconds(23), Seconds(28));
            for (const auto &violation : fleet.invariants().violations()) {
                BOOST_TEST_ERROR(violation);
            }
            BOOST_TEST(fleet.invariants().startedRunCount() > 0);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
