#include "scheduling/scheduler.h"

#include "schedulerfixture.h"

#include <boost/test/unit_test.hpp>

using namespace Anvilcart;
using namespace Anvilcart::Fleet;

namespace
{
/// A target that fails renewals as soon as they arrive, as when it refuses connections.
struct RenewalsFixture : SchedulerFixture
{
    /// Submits a job and leaves its start on t1 unanswered, while renewals fail this often.
    void startAndFailRenewals(int count)
    {
        claimTarget("t1");
        auto submission = job("j");
        submission.callerDeadline = now + Seconds(9);
        submit(submission);
        advance(Milliseconds(25));
        for (int failure = 0; failure < count; ++failure) {
            now += Milliseconds(1);
            answerRenewal("t1", {}, {}, RequestResult::Unknown);
        }
    }

    /// Fails each renewal 1 ms after it was sent for this time, with a tick every 25 ms; one is in flight at the beginning.
    void failRenewalsFor(Duration time)
    {
        const auto begin = now;
        std::size_t answered = port.renewals.size() - 1;
        while (now < begin + time) {
            now += Milliseconds(1);
            if (port.renewals.size() > answered) {
                answered = port.renewals.size();
                answerRenewal("t1", {}, {}, RequestResult::Unknown);
            }
            if ((now - begin) % Milliseconds(25) == Duration(0)) {
                scheduler.tick(now);
            }
        }
    }
};
} // namespace

BOOST_FIXTURE_TEST_SUITE(RenewalsSuite, RenewalsFixture, *boost::unit_test::label("scheduling"))

// A target that was given up while its claim was on its way, and claimed again under the same token, had two renewals in flight. After a
// pause, the host read their replies as if both answered the later one, and started a confirmed run a second time.
BOOST_AUTO_TEST_CASE(A_reply_to_an_earlier_renewal_does_not_end_a_run_that_was_confirmed_meanwhile)
{
    scheduler.addTarget(entry("t1"), Token, now);
    const auto earlierClaim = lastRenewal("t1");
    scheduler.retireTarget("t1");
    scheduler.addTarget(entry("t1"), Token, now);
    answerRenewal("t1", {});
    claimTarget("t2", 14000);
    submit(job("j1", 1, 15000));
    answerStart(0);
    const auto poll = lastRenewal("t1");
    now += Milliseconds(20);
    submit(job("j2", 1, 15000));
    BOOST_REQUIRE(port.starts.size() == 2);
    const std::vector<ActiveRun> listedBeforeSecondStart {{port.starts[0].request.name, 10}};
    scheduler.updateTarget(entry("t2"));
    now += Milliseconds(5);
    answerStart(1);
    now += Milliseconds(1);
    answerRenewal("t1", earlierClaim, listedBeforeSecondStart);
    now += Milliseconds(1);
    answerRenewal("t1", poll, listedBeforeSecondStart);
    BOOST_TEST(port.starts.size() == 2);
    BOOST_TEST(scheduler.runCount() == 2);
}

// Issue 39: hosts made 244,000 connections to targets on a day on which targets flap, most of them to targets that refused them at once.
BOOST_AUTO_TEST_CASE(A_renewal_that_fails_at_once_is_repeated_once_without_a_pause)
{
    claimTarget("t1");
    submit(job("j", 1, 14000, Seconds(1)));
    answerStart(0);
    failRenewalsFor(Milliseconds(500));
    BOOST_TEST(port.renewals.size() <= 24);
    BOOST_TEST(port.renewals.size() >= 18);
}

BOOST_AUTO_TEST_CASE(An_idle_target_is_used_again_once_it_answers_after_renewals_that_failed_at_once)
{
    startAndFailRenewals(3);
    answerStart(0, RequestResult::TooLate);
    BOOST_REQUIRE(port.starts.size() == 1);
    advance(Milliseconds(25));
    answerRenewal("t1", {});
    BOOST_TEST(port.starts.size() == 2);
}

BOOST_AUTO_TEST_CASE(A_renewal_of_an_idle_target_that_failed_at_once_is_repeated_by_the_next_tick)
{
    startAndFailRenewals(2);
    answerStart(0, RequestResult::TooLate);
    const auto sent = port.renewals.size();
    advance(Milliseconds(25));
    BOOST_TEST(port.renewals.size() == sent + 1);
}

// Its entry shows that the target has restarted, so that it is claimed again; it has not been silent for long, and answers nothing more.
BOOST_AUTO_TEST_CASE(A_target_that_restarts_after_a_failed_renewal_and_stays_silent_is_probed_with_pauses_and_loses_its_runs)
{
    claimTarget("t1");
    submit(job("j"));
    answerStart(0);
    for (int failure = 0; failure < 2; ++failure) {
        now += Milliseconds(1);
        answerRenewal("t1", {}, {}, RequestResult::Unknown);
    }
    const auto entryOfNewLife = entryOfLife("t1", 5);
    scheduler.updateTarget(entryOfNewLife);
    scheduler.addTarget(entryOfNewLife, Token + 1, now);
    const auto sentBefore = port.renewals.size();
    failRenewalsFor(Seconds(10));
    BOOST_TEST(port.renewals.size() - sentBefore <= 130);
    BOOST_TEST(observer.losses.size() == 1);
    BOOST_TEST(scheduler.jobCount() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
