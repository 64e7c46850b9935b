#include "scheduling/zoneevacuation.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <vector>

using namespace Anvilcart;
using namespace Anvilcart::Fleet;

namespace
{
constexpr Milliseconds Bound {5000};
constexpr TimePoint Begin {std::chrono::hours(1)};
constexpr std::int64_t Capacity = 16000;
constexpr std::int64_t Demand = 8000;
} // namespace

BOOST_AUTO_TEST_SUITE(ZoneEvacuationSuite, *boost::unit_test::label("scheduling"))

BOOST_AUTO_TEST_CASE(An_evacuated_zone_takes_no_new_jobs_and_others_are_not_affected)
{
    ZoneEvacuation evacuation(Bound);
    evacuation.setZones({"b"}, Begin, Begin);
    BOOST_TEST(!evacuation.accessTo("b", "t", TimePoint(), Begin).admits(false, Begin));
    BOOST_TEST((evacuation.accessTo("a", "t", TimePoint(), Begin) == ZoneAccess()));
}

// Guards against a grace period that begins anew with each read of the store.
BOOST_AUTO_TEST_CASE(Started_jobs_are_admitted_for_a_quarter_of_the_bound_after_the_evacuation_became_known)
{
    ZoneEvacuation evacuation(Bound);
    evacuation.setZones({"b"}, Begin, Begin);
    evacuation.setZones({"b", "c"}, Begin + Milliseconds(1000), Begin + Milliseconds(1000));
    const auto access = evacuation.accessTo("b", "t", TimePoint(), Begin + Milliseconds(1000));
    BOOST_TEST(access.admits(true, Begin + Milliseconds(1249)));
    BOOST_TEST(!access.admits(true, Begin + Milliseconds(1250)));
    BOOST_TEST(evacuation.accessTo("c", "t", TimePoint(), Begin).admits(true, Begin + Milliseconds(2249)));
}

// Guards against a host that returns from a cut, or restarts, and begins a grace period after the bound.
BOOST_AUTO_TEST_CASE(A_host_that_learns_of_the_evacuation_late_has_less_of_the_grace_period)
{
    ZoneEvacuation evacuation(Bound);
    evacuation.setZones({"b"}, Begin, Begin + Milliseconds(3000));
    evacuation.setZones({"b", "c"}, TimePoint(), Begin + Milliseconds(3000));
    BOOST_TEST(evacuation.accessTo("b", "t", TimePoint(), Begin).admits(true, Begin + Milliseconds(3749)));
    BOOST_TEST(!evacuation.accessTo("b", "t", TimePoint(), Begin).admits(true, Begin + Milliseconds(3750)));
    BOOST_TEST(!evacuation.accessTo("c", "t", TimePoint(), Begin).admits(true, Begin + Milliseconds(3000)));
}

BOOST_AUTO_TEST_CASE(Warm_targets_return_at_once)
{
    ZoneEvacuation evacuation(Bound);
    evacuation.setZones({"b"}, Begin, Begin);
    evacuation.setZones({}, Begin + Seconds(10), Begin + Seconds(10));
    BOOST_TEST((evacuation.accessTo("b", "t", Begin + Seconds(9), Begin + Seconds(10)) == ZoneAccess()));
}

// Replays the return of cold targets under more tasks than they can take, each of half a target. Guards against work that returns all at
// once to targets that are still slow.
BOOST_AUTO_TEST_CASE(The_capacity_of_cold_targets_returns_with_time)
{
    ZoneEvacuation evacuation(Bound);
    evacuation.setZones({"b"}, Begin, Begin);
    const auto end = Begin + Seconds(10);
    evacuation.setZones({}, end, end);
    const auto warmAt = end + Seconds(20);
    std::vector<double> shares;
    for (const auto sinceEnd : {0, 5, 10, 15, 20}) {
        const auto now = end + Seconds(sinceEnd);
        std::int64_t used = 0;
        constexpr int Targets = 200;
        for (int number = 0; number < Targets; ++number) {
            const auto access = evacuation.accessTo("b", "target-" + std::to_string(number), warmAt, now);
            std::int64_t usedOfTarget = 0;
            while (usedOfTarget + Demand <= Capacity && access.hasShareFor(Demand, usedOfTarget, Capacity)) {
                usedOfTarget += Demand;
            }
            used += usedOfTarget;
        }
        shares.push_back(static_cast<double>(used) / static_cast<double>(Targets * Capacity));
    }
    BOOST_TEST_CONTEXT(shares[0] << ' ' << shares[1] << ' ' << shares[2] << ' ' << shares[3] << ' ' << shares[4])
    {
        BOOST_TEST(std::is_sorted(shares.begin(), shares.end()));
        BOOST_TEST(shares[0] > 0.02);
        BOOST_TEST(shares[0] < 0.2);
        BOOST_TEST(std::abs(shares[2] - 0.5) < 0.1);
        BOOST_TEST(shares[4] == 1.0);
    }
}

BOOST_AUTO_TEST_CASE(A_zone_that_is_evacuated_again_while_it_returns_is_closed_again)
{
    ZoneEvacuation evacuation(Bound);
    evacuation.setZones({"b"}, Begin, Begin);
    evacuation.setZones({}, Begin + Seconds(1), Begin + Seconds(1));
    evacuation.setZones({"b"}, Begin + Seconds(2), Begin + Seconds(2));
    const auto access = evacuation.accessTo("b", "t", Begin + Seconds(60), Begin + Seconds(2));
    BOOST_TEST(!access.admits(false, Begin + Seconds(2)));
    BOOST_TEST(access.admits(true, Begin + Seconds(3)));
}

BOOST_AUTO_TEST_SUITE_END()
