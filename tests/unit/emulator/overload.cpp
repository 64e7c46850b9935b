#include "emulator/emulatedfleet.h"
#include "emulator/faultscenarios.h"
#include "emulator/fleetpresets.h"
#include "emulator/queuereplay.h"

#include <boost/test/unit_test.hpp>

#include <cmath>

using namespace Anvilcart;
using namespace Anvilcart::Emulation;

namespace
{
using Results = std::map<std::string, JobKindResult>;

void addResults(Results &sum, const Results &results)
{
    for (const auto &[name, result] : results) {
        auto &total = sum[name];
        total.submitted += result.submitted;
        total.inObjective += result.inObjective;
        total.late += result.late;
        total.overdue += result.overdue;
        total.refused += result.refused;
        total.unanswered += result.unanswered;
        total.timeToRefusal += result.timeToRefusal;
    }
}

double share(std::size_t part, const JobKindResult &result)
{
    return static_cast<double>(part) / static_cast<double>(result.submitted);
}

/// Mean over the kinds, each with the same weight.
double meanShare(const Results &results, std::size_t JobKindResult::*member)
{
    double sum = 0;
    for (const auto &[name, result] : results) {
        sum += share(result.*member, result);
    }
    return sum / static_cast<double>(results.size());
}

/// Six seeds of the overload, and the replay of the same load with full knowledge.
struct OverloadFixture
{
    OverloadFixture()
    {
        for (std::uint64_t seed = 1; seed <= 6; ++seed) {
            const auto options = optionsOfScarceCapacity(seed);
            EmulatedFleet fleet(options);
            addOverload(fleet, options, seed);
            fleet.run(OverloadCallersFrom, OverloadCallersFrom + Seconds(20), OverloadCallersFrom + Seconds(25));
            for (const auto &line : fleet.invariants().violations()) {
                BOOST_ERROR(line);
            }
            addResults(kinds, fleet.results());
            addResults(largeJobs, fleet.callers().resultsOfLargeJobs());
            addResults(zones, fleet.callers().resultsByZone());
            const ReplayCapacity capacity {options.targetsPerZone * options.targetZones.size(), 2, overloadOf(options, seed)};
            addResults(bound, replayWithFullKnowledge(fleet.callers().submittedJobs(), capacity, ReplayOrder::FairShares));
        }
    }

    Results kinds;
    Results largeJobs;
    Results zones;
    Results bound;
};
} // namespace

BOOST_AUTO_TEST_SUITE(OverloadSuite, *boost::unit_test::label("emulator"))

// Before, 0.80 of the jobs were in time (0.90 of the bound), 0.11 late, and a refusal took 2 s.
BOOST_FIXTURE_TEST_CASE(In_an_overload_most_jobs_are_in_time_and_the_others_are_refused_soon, OverloadFixture)
{
    BOOST_TEST(meanShare(kinds, &JobKindResult::inObjective) > 0.93 * meanShare(bound, &JobKindResult::inObjective));
    BOOST_TEST(meanShare(kinds, &JobKindResult::late) < 0.07);
    BOOST_TEST(meanShare(kinds, &JobKindResult::overdue) < 0.005);
    BOOST_TEST(meanShare(kinds, &JobKindResult::unanswered) < 0.001);
    for (const auto &[name, result] : kinds) {
        BOOST_TEST_CONTEXT(name)
        {
            BOOST_TEST(toMilliseconds(result.timeToRefusal) < 600 * static_cast<double>(result.refused));
        }
    }
}

BOOST_FIXTURE_TEST_CASE(In_an_overload_no_kind_no_large_job_and_no_zone_starves, OverloadFixture)
{
    for (const auto &[name, result] : kinds) {
        BOOST_TEST_CONTEXT(name)
        {
            BOOST_TEST(share(result.inObjective, result) > 0.7);
            const auto &large = largeJobs.at(name);
            BOOST_TEST(share(large.inObjective, large) > 0.5 * share(result.inObjective, result));
        }
    }
    const auto &first = zones.begin()->second;
    for (const auto &[name, result] : zones) {
        BOOST_TEST_CONTEXT(name)
        {
            BOOST_TEST(std::abs(share(result.inObjective, result) - share(first.inObjective, first)) < 0.05);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
