#include "scheduling/nearplacewait.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <random>

using namespace Anvilcart;
using namespace Anvilcart::Fleet;

namespace
{
constexpr TimePoint Now {std::chrono::hours(1)};

/// A task of 100 ms with an objective of 400 ms, which takes 200 ms in a far place.
NearPlaceForecast forecast(Duration untilNear)
{
    NearPlaceForecast inputs;
    inputs.now = inputs.farAt = Now;
    inputs.nearAt = Now + untilNear;
    inputs.nearRunTime = Milliseconds(100);
    inputs.farRunTime = Milliseconds(200);
    inputs.objectiveAt = Now + Milliseconds(400);
    inputs.callerDeadline = Now + Milliseconds(2000);
    return inputs;
}

bool isFarStart(const NearPlaceForecast &inputs)
{
    return std::holds_alternative<StartFar>(decideNearPlace(inputs));
}

/// The end of the wait; Now when the task does not wait.
TimePoint waitUntil(const NearPlaceForecast &inputs)
{
    const auto decision = decideNearPlace(inputs);
    const auto *wait = std::get_if<WaitForNear>(&decision);
    return wait == nullptr ? Now : wait->until;
}
} // namespace

BOOST_AUTO_TEST_SUITE(NearPlaceWaitSuite, *boost::unit_test::label("scheduling"))

BOOST_AUTO_TEST_CASE(A_free_near_place_is_taken)
{
    BOOST_TEST(std::holds_alternative<StartNear>(decideNearPlace(forecast(Milliseconds(0)))));
}

// Guards against far runs that end later than a short wait and a near run.
BOOST_AUTO_TEST_CASE(A_task_waits_if_it_then_ends_sooner)
{
    BOOST_TEST((waitUntil(forecast(Milliseconds(50))) > Now + Milliseconds(50)));
    BOOST_TEST(isFarStart(forecast(Milliseconds(120))));
}

// Guards against far runs that take cores from queued jobs while a wait would cost the caller nothing.
BOOST_AUTO_TEST_CASE(A_task_waits_longer_while_its_far_run_would_delay_others_more)
{
    auto inputs = forecast(Milliseconds(120));
    inputs.delayOfOthers = Milliseconds(10);
    BOOST_TEST(isFarStart(inputs));
    inputs.delayOfOthers = Milliseconds(30);
    BOOST_TEST(!isFarStart(inputs));
    // A far run meets the objective until 200 ms from now.
    inputs = forecast(Milliseconds(210));
    inputs.delayOfOthers = Seconds(10);
    BOOST_TEST(isFarStart(inputs));
}

BOOST_AUTO_TEST_CASE(A_task_without_a_usable_near_target_does_not_wait)
{
    auto inputs = forecast(Milliseconds(0));
    inputs.nearAt.reset();
    BOOST_TEST(isFarStart(inputs));
}

// Guards against endless waits after a forecast that was too hopeful.
BOOST_AUTO_TEST_CASE(A_wait_ends_when_it_has_cost_as_much_more_as_a_far_run)
{
    auto inputs = forecast(Milliseconds(20));
    inputs.objectiveAt = Now + Seconds(5);
    inputs.callerDeadline = Now + Seconds(9);
    BOOST_TEST((waitUntil(inputs) == Now + Milliseconds(120)));
}

// Guards against waits that are cut short for an objective that a far run misses in any case.
BOOST_AUTO_TEST_CASE(An_objective_that_only_a_near_run_meets_bounds_the_wait_by_the_near_run)
{
    auto inputs = forecast(Milliseconds(30));
    inputs.objectiveAt = Now + Milliseconds(150);
    BOOST_TEST((waitUntil(inputs) == Now + Milliseconds(50)));
    inputs.objectiveAt = Now - Milliseconds(1);
    BOOST_TEST((waitUntil(inputs) == Now + Milliseconds(130)));
}

// Guards against waits that last beyond the caller's deadline, since a far run would miss that too: an early start may still meet it.
BOOST_AUTO_TEST_CASE(A_near_run_that_would_miss_the_callers_deadline_is_not_waited_for)
{
    auto inputs = forecast(Milliseconds(50));
    inputs.objectiveAt = Now - Milliseconds(500);
    inputs.callerDeadline = Now + Milliseconds(140);
    BOOST_TEST(isFarStart(inputs));
    inputs.callerDeadline = Now + Milliseconds(170);
    BOOST_TEST((waitUntil(inputs) == Now + Milliseconds(70)));
}

BOOST_AUTO_TEST_CASE(What_follows_in_the_job_shortens_the_wait)
{
    auto inputs = forecast(Milliseconds(50));
    BOOST_TEST((waitUntil(inputs) == Now + Milliseconds(150)));
    inputs.remainingPath = Milliseconds(120);
    BOOST_TEST((waitUntil(inputs) == Now + Milliseconds(80)));
}

// Guards against a wait that makes a job miss an objective or its caller's deadline that a far run would have met.
BOOST_AUTO_TEST_CASE(No_wait_makes_a_task_miss_what_a_far_run_would_have_met)
{
    std::mt19937_64 random(7);
    const auto draw = [&random](int longestMs) {
        return Milliseconds(random() % static_cast<std::uint64_t>(longestMs));
    };
    int waits = 0;
    for (int round = 0; round < 20000; ++round) {
        auto inputs = forecast(draw(500));
        inputs.nearRunTime = Milliseconds(1) + draw(400);
        inputs.farRunTime = inputs.nearRunTime * static_cast<int>(1 + random() % 3);
        inputs.remainingPath = draw(2) * draw(300).count();
        inputs.objectiveAt = Now + draw(900) - Milliseconds(200);
        inputs.callerDeadline = inputs.objectiveAt + draw(900);
        inputs.delayOfOthers = draw(300);
        const auto until = waitUntil(inputs);
        waits += until > Now ? 1 : 0;
        const auto farPath = inputs.farRunTime + inputs.remainingPath;
        for (const auto limit : {inputs.objectiveAt, inputs.callerDeadline}) {
            BOOST_REQUIRE((Now + farPath > limit || until + farPath <= limit));
        }
        BOOST_REQUIRE((until == Now || until + inputs.nearRunTime + inputs.remainingPath <= inputs.callerDeadline));
        BOOST_REQUIRE((until <= *inputs.nearAt + std::max<Duration>(inputs.farRunTime, Milliseconds(10))));
    }
    BOOST_TEST(waits > 1000);
}

BOOST_AUTO_TEST_SUITE_END()
