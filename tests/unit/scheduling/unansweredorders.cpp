#include "scheduling/repeatbudget.h"
#include "scheduling/scheduler.h"

#include "schedulerfixture.h"

#include <boost/test/unit_test.hpp>

using namespace Anvilcart;
using namespace Anvilcart::Fleet;

namespace
{
/// Two targets with the one start of a job on one of them, for which a target's answer is awaited.
struct UnansweredOrdersFixture : SchedulerFixture
{
    UnansweredOrdersFixture()
    {
        claimTarget("t1");
        claimTarget("t2");
        now += Seconds(1);
        submit(job("j"));
        BOOST_REQUIRE(port.starts.size() == 1);
        target = port.starts[0].target;
        run = port.starts[0].request.name;
        now += Milliseconds(12);
    }

    void answerStop(RequestResult result)
    {
        TargetReply reply;
        reply.result = result;
        reply.clockMs = clockMs();
        reply.fencingToken = Token;
        scheduler.onStopReply(target, run, reply, now);
    }

    std::string target;
    RunName run;
};
} // namespace

BOOST_FIXTURE_TEST_SUITE(UnansweredOrdersSuite, UnansweredOrdersFixture, *boost::unit_test::label("scheduling"))

BOOST_AUTO_TEST_CASE(An_unanswered_start_is_repeated_at_once_as_the_same_run_on_the_same_target)
{
    answerStart(0, RequestResult::Unknown);
    BOOST_REQUIRE(port.starts.size() == 2);
    BOOST_TEST(port.starts[1].target == target);
    BOOST_TEST((port.starts[1].request.name == run));
    BOOST_TEST(port.starts[1].request.leaseUntilMs == port.starts[0].request.leaseUntilMs);
    answerStart(1);
    BOOST_TEST(scheduler.runCount() == 1);
    BOOST_TEST(port.stops.empty());
}

BOOST_AUTO_TEST_CASE(A_start_that_stays_unanswered_goes_to_another_target_once_its_stop_is_confirmed_and_it_is_not_listed)
{
    loseStart(0);
    BOOST_TEST(startsButRepetitions().size() == 1);
    BOOST_TEST(lastRenewal(target).waitMs == 0);
    answerRenewal(target, {});
    BOOST_REQUIRE(port.stops.size() == 1);
    BOOST_TEST(startsButRepetitions().size() == 1);
    now += Milliseconds(3);
    answerStop(RequestResult::Accepted);
    // A renewal that waits for the end of a run must not delay the listing.
    BOOST_TEST(lastRenewal(target).waitMs == 0);
    BOOST_TEST(startsButRepetitions().size() == 1);
    now += Milliseconds(3);
    answerRenewal(target, {});
    BOOST_REQUIRE(startsButRepetitions().size() == 2);
    BOOST_TEST(startsButRepetitions()[1].target != target);
    BOOST_TEST(startsButRepetitions()[1].request.name.run == 2);
}

BOOST_AUTO_TEST_CASE(An_unanswered_stop_is_repeated_at_once)
{
    answerStart(0);
    scheduler.cancel("j", "entry", now);
    BOOST_REQUIRE(port.stops.size() == 1);
    now += Milliseconds(12);
    answerStop(RequestResult::Unknown);
    BOOST_TEST(port.stops.size() == 2);
}

// The run of the first request has ended; its end is listed later than the refusal arrives.
BOOST_AUTO_TEST_CASE(A_repetition_that_is_refused_does_not_start_the_task_again_before_a_listing)
{
    answerStart(0, RequestResult::Unknown);
    answerStart(1, RequestResult::RunOutdated);
    advance(Milliseconds(1));
    BOOST_TEST(startsButRepetitions().size() == 1);
    BOOST_TEST(port.ended.empty());
    answerRenewal(target, {}, {{1, run, RunEnd::Done}});
    BOOST_TEST(startsButRepetitions().size() == 1);
    BOOST_REQUIRE(port.ended.size() == 1);
    BOOST_TEST((port.ended[0].result.end == JobEnd::Completed));
}

BOOST_AUTO_TEST_CASE(A_repetition_that_finds_no_capacity_leaves_the_first_start_in_doubt)
{
    answerStart(0, RequestResult::Unknown);
    answerStart(1, RequestResult::InsufficientCapacity);
    advance(Milliseconds(1));
    BOOST_TEST(startsButRepetitions().size() == 1);
    answerRenewal(target, {});
    BOOST_TEST(port.stops.size() == 1);
    BOOST_TEST(startsButRepetitions().size() == 1);
}

BOOST_AUTO_TEST_CASE(A_target_that_has_answered_nothing_since_an_unanswered_start_gets_no_other_work)
{
    answerStart(0, RequestResult::Unknown);
    submit(job("next"));
    BOOST_TEST(startsButRepetitions().back().target != target);
}

BOOST_AUTO_TEST_CASE(A_reply_with_a_reading_of_the_clock_of_a_new_life_brings_a_listing_at_once)
{
    TargetReply reply;
    reply.result = RequestResult::Accepted;
    reply.clockMs = 13;
    reply.fencingToken = Token;
    answerStart(0);
    BOOST_REQUIRE(lastRenewal(target).waitMs > 0);
    now += Seconds(1);
    scheduler.onStartReply(target, run, reply, now);
    BOOST_TEST(lastRenewal(target).waitMs == 0);
}

BOOST_AUTO_TEST_CASE(Repetitions_are_bounded_by_half_of_the_first_requests)
{
    constexpr int Requests = 1000;
    RepeatBudget budget;
    int repeated = 0;
    for (int request = 0; request < Requests; ++request) {
        budget.onFirstRequest();
        for (int repetition = 0; repetition < 3; ++repetition) {
            repeated += budget.takeRepeat() ? 1 : 0;
        }
    }
    BOOST_TEST(repeated <= Requests / 2 + 64);
    BOOST_TEST(repeated >= Requests / 2);
}

BOOST_AUTO_TEST_SUITE_END()
