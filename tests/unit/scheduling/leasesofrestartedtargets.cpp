#include "scheduling/scheduler.h"

#include "schedulerfixture.h"

#include <boost/test/unit_test.hpp>

using namespace Anvilcart;
using namespace Anvilcart::Fleet;

namespace
{
/// The longest lease by a clock that is 2% slow.
const Duration LongestLease = std::chrono::duration_cast<Duration>(SchedulerLimits().maxLease / 0.98);

/// A target that has been held for long and then restarts, which the scheduler does not know; its clock begins anew.
struct RestartUnderStartsFixture : SchedulerFixture
{
    RestartUnderStartsFixture()
    {
        claimTarget("restarted", 32000);
        now += Seconds(5);
    }

    /// Starts both tasks of a job on the restarted target. It accepts the first start at once, and the start of another job can't be sent,
    /// so that it counts as silent. The second start is answered like this 240 ms after it was sent, and nothing after that.
    void startTwoTasks(RequestResult secondResult)
    {
        auto submission = job("j", 2, 14000);
        submission.callerDeadline = now + Seconds(9);
        submit(submission);
        auto other = job("k", 1, 500);
        other.maxAttempts = 1;
        submit(other);
        BOOST_REQUIRE(port.starts.size() == 3);
        BOOST_REQUIRE(port.starts[0].target == "restarted");
        BOOST_REQUIRE(port.starts[1].target == "restarted");
        advance(Milliseconds(3));
        answer(0, RequestResult::Accepted);
        answer(2, RequestResult::NotSent);
        scheduler.cancel("k", "entry", now);
        now += Milliseconds(237);
        answer(1, secondResult);
        secondAnsweredAt = now;
    }

    /// The reply to a start, with a reading of the clock of the target's new life.
    void answer(std::size_t index, RequestResult result)
    {
        TargetReply reply;
        reply.result = result;
        reply.clockMs = clockMs() - 5500;
        const auto start = port.starts.at(index);
        reply.fencingToken = start.request.fencingToken;
        scheduler.onStartReply(start.target, start.request.name, reply, now);
    }

    /// The time from the second answer until the scheduler takes the first run for ended, so that its task may be started elsewhere;
    /// renewals time out.
    Duration timeToLoss()
    {
        while (observer.losses.empty() && now < secondAnsweredAt + Seconds(5)) {
            now += Milliseconds(20);
            answerRenewal("restarted", {}, {}, RequestResult::Unknown);
            scheduler.tick(now);
        }
        return now - secondAnsweredAt;
    }

    TimePoint secondAnsweredAt;
};
} // namespace

BOOST_FIXTURE_TEST_SUITE(LeasesOfRestartedTargetsSuite, RestartUnderStartsFixture, *boost::unit_test::label("scheduling"))

// Both starts carry deadlines on the clock of the earlier life, which the target cuts to the longest lease when it receives each of them.
BOOST_AUTO_TEST_CASE(A_run_is_not_taken_for_ended_while_the_start_that_a_restarted_target_accepted_last_may_extend_its_lease)
{
    startTwoTasks(RequestResult::Accepted);
    const auto time = timeToLoss();
    BOOST_TEST((time > LongestLease));
    BOOST_TEST((time < LongestLease + Milliseconds(150)));
}

// A deadline is also taken from a start that is refused for want of room.
BOOST_AUTO_TEST_CASE(A_run_is_not_taken_for_ended_while_a_start_that_a_restarted_target_refused_may_extend_its_lease)
{
    startTwoTasks(RequestResult::InsufficientCapacity);
    const auto time = timeToLoss();
    BOOST_TEST((time > LongestLease));
    BOOST_TEST((time < LongestLease + Milliseconds(150)));
}

// The second start is executed after the listing that shows the restart, and before the claim that this host then sends.
BOOST_AUTO_TEST_CASE(A_run_is_not_taken_for_ended_while_a_start_under_the_token_of_the_earlier_claim_may_extend_its_lease)
{
    auto submission = job("j", 2, 14000);
    submission.callerDeadline = now + Seconds(9);
    submit(submission);
    BOOST_REQUIRE(port.starts.size() == 2);
    advance(Milliseconds(3));
    answer(0, RequestResult::Accepted);
    advance(Milliseconds(3));
    const auto &request = lastRenewal("restarted");
    RenewalReply reply;
    reply.result = RequestResult::Accepted;
    reply.fencingToken = request.fencingToken;
    reply.sequence = request.sequence;
    reply.sentAt = request.sentAt;
    reply.listing.clockMs = clockMs() - 5500;
    reply.listing.startedAtMs = 2;
    reply.listing.running = {{port.starts[0].request.name, 10}};
    scheduler.onRenewalReply("restarted", reply, now);
    BOOST_REQUIRE(port.restarted.size() == 1);
    scheduler.addTarget(entry("restarted", 32000), Token + 1, now);
    now += Milliseconds(200);
    answer(1, RequestResult::Accepted);
    secondAnsweredAt = now;
    const auto time = timeToLoss();
    BOOST_TEST_MESSAGE("taken for ended after " << toMilliseconds(time) << " ms");
    BOOST_TEST((time > LongestLease));
    BOOST_TEST((time < LongestLease + Milliseconds(150)));
}

// As the one above, for a renewal that is executed between the listing and the claim.
BOOST_AUTO_TEST_CASE(A_run_is_not_taken_for_ended_while_a_renewal_under_the_token_of_the_earlier_claim_may_extend_its_lease)
{
    auto submission = job("j", 1, 14000);
    submission.callerDeadline = now + Seconds(9);
    submit(submission);
    BOOST_REQUIRE(port.starts.size() == 1);
    advance(Milliseconds(3));
    answer(0, RequestResult::Accepted);
    advance(Milliseconds(3));
    const auto request = lastRenewal("restarted");
    RenewalReply reply;
    reply.result = RequestResult::Accepted;
    reply.fencingToken = request.fencingToken;
    reply.sequence = request.sequence;
    reply.sentAt = request.sentAt;
    reply.listing.clockMs = clockMs() - 5500;
    reply.listing.startedAtMs = 2;
    reply.listing.running = {{port.starts[0].request.name, 10}};
    scheduler.onRenewalReply("restarted", reply, now);
    BOOST_REQUIRE(port.restarted.size() == 1);
    scheduler.addTarget(entry("restarted", 32000), Token + 1, now);
    now += Milliseconds(200);
    reply.sequence = request.sequence - 1;
    reply.listing.clockMs = clockMs() - 5500;
    scheduler.onRenewalReply("restarted", reply, now);
    secondAnsweredAt = now;
    const auto time = timeToLoss();
    BOOST_TEST((time > LongestLease));
    BOOST_TEST((time < LongestLease + Milliseconds(150)));
}

BOOST_AUTO_TEST_SUITE_END()

namespace
{
/// A target whose entry is of its earlier life, so that the listing of the first claim shows a restart. It lists a run, and answers nothing
/// after that, so that the second claim is not accepted.
struct UnclaimedTargetFixture : SchedulerFixture
{
    UnclaimedTargetFixture()
    {
        startedAtMs = 2;
        scheduler.addTarget(entry("t1"), Token, now);
    }

    void listRunAndFallSilent(const std::string &jobId)
    {
        answerRenewal("t1", {{RunName {{jobId, 0, 0, 0}, 1}, 10}});
        BOOST_REQUIRE(port.restarted.size() == 1);
        scheduler.addTarget(entry("t1"), Token + 1, now);
        const auto silentUntil = now + Seconds(20);
        while (now < silentUntil) {
            now += Milliseconds(60);
            if (scheduler.ownsTarget("t1")) {
                answerRenewal("t1", {}, {}, RequestResult::Unknown);
            }
            scheduler.tick(now);
        }
    }
};
} // namespace

BOOST_FIXTURE_TEST_SUITE(UnclaimedTargetsSuite, UnclaimedTargetFixture, *boost::unit_test::label("scheduling"))

BOOST_AUTO_TEST_CASE(A_target_that_restarted_before_its_first_claim_and_is_gone_does_not_keep_its_runs_for_ever)
{
    scheduler.onEntryGone("t1");
    listRunAndFallSilent("unknown job");
    BOOST_TEST(scheduler.runCount() == 0);
    BOOST_TEST(!scheduler.ownsTarget("t1"));
}

BOOST_AUTO_TEST_CASE(A_job_whose_run_was_found_on_a_target_that_fell_silent_before_its_claim_ends)
{
    auto submission = job("j");
    submission.callerDeadline = now + Seconds(9);
    submit(submission);
    listRunAndFallSilent("j");
    BOOST_TEST(scheduler.runCount() == 0);
    BOOST_TEST(scheduler.jobCount() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(LeasesOfIdleTargetsSuite, SchedulerFixture, *boost::unit_test::label("scheduling"))

// A start that is carried out late must have no effect after the longest lease, also on a target whose clock is 2% slow. The clock of an
// idle target is read from time to time for that.
BOOST_AUTO_TEST_CASE(A_start_on_a_target_that_was_idle_for_long_has_no_effect_after_the_longest_lease)
{
    claimTarget("t1");
    const auto claimedAt = now;
    const auto clockAtClaim = clockMs();
    const auto slowClockMs = [&] {
        return clockAtClaim + std::chrono::duration_cast<Milliseconds>(now - claimedAt).count() * 98 / 100;
    };
    while (now < claimedAt + Seconds(60)) {
        const auto sent = port.renewals.size();
        advance(Milliseconds(25));
        if (port.renewals.size() > sent) {
            answerRenewalWithClock("t1", slowClockMs());
        }
    }
    submit(job("j"));
    BOOST_REQUIRE(port.starts.size() == 1);
    BOOST_TEST(port.starts[0].request.leaseUntilMs - slowClockMs()
               <= std::chrono::duration_cast<Milliseconds>(SchedulerLimits().maxLease).count());
}

BOOST_AUTO_TEST_CASE(No_run_is_started_by_a_clock_that_was_read_so_long_ago_that_the_start_may_take_effect_after_the_longest_lease)
{
    claimTarget("t1");
    now += Seconds(60);
    submit(job("j"));
    BOOST_TEST(port.starts.empty());
    scheduler.tick(now);
    answerRenewal("t1", {});
    BOOST_TEST(port.starts.size() == 1);
}

// Issue 45: the log must tell a loss just after a claim from a later one.
BOOST_AUTO_TEST_CASE(Runs_that_a_restart_has_ended_are_reported_with_the_claim_by_which_they_were_started)
{
    claimTarget("t1");
    const auto listedAt = now;
    now += Seconds(2);
    submit(job("j"));
    answerStart(0);
    answerRenewal("t1", {{port.starts[0].request.name, 10}});
    now += Milliseconds(100);
    startedAtMs = 2;
    answerRenewal("t1", {});
    scheduler.addTarget(entry("t1"), Token + 1, now);
    now += Milliseconds(3);
    answerRenewal("t1", {});
    BOOST_REQUIRE(observer.losses.size() == 1);
    BOOST_TEST((observer.losses[0].evidence == LossEvidence::Restarted));
    BOOST_TEST((observer.losses[0].listedAt == listedAt));
}

BOOST_AUTO_TEST_SUITE_END()
