#include "scheduling/leasebound.h"
#include "scheduling/scheduler.h"

#include "schedulerfixture.h"

#include <boost/test/unit_test.hpp>

using namespace Anvilcart;
using namespace Anvilcart::Fleet;

namespace
{
/// The longest lease by a clock that is 2% slow.
const Duration LongestLease = std::chrono::duration_cast<Duration>(SchedulerLimits().maxLease / 0.98);

/// A target that has just been claimed, whose earlier owner may have extended the leases there until the claim, and one that has been held
/// for long.
struct ClaimedTargetFixture : SchedulerFixture
{
    ClaimedTargetFixture()
    {
        claimTarget("held", 400);
        now += Seconds(5);
        claimTarget("claimed", 16000);
        claimedAt = now;
    }

    /// Starts the only task of a job on the claimed target, which confirms it and falls silent: the start of another job can't be sent.
    /// Afterwards the other target has room, too.
    void startAndFallSilent(Duration afterClaim)
    {
        advance(afterClaim);
        auto submission = job("j", 1, 15000);
        submission.callerDeadline = now + Seconds(9);
        submit(submission);
        BOOST_REQUIRE(port.starts.size() == 1);
        BOOST_REQUIRE(port.starts[0].target == "claimed");
        auto other = job("k", 1, 500);
        other.maxAttempts = 1;
        submit(other);
        BOOST_REQUIRE(port.starts.size() == 2);
        advance(Milliseconds(1));
        answerStart(0);
        answerStart(1, RequestResult::NotSent);
        scheduler.cancel("k", "entry", now);
        scheduler.updateTarget(entry("held", 32000));
    }

    /// The time from the claim to the second start of the task; the requests to the target time out.
    Duration timeToSecondStart()
    {
        while (port.starts.size() == 2 && now < claimedAt + Seconds(5)) {
            now += Milliseconds(20);
            answerRenewal("claimed", {}, {}, RequestResult::Unknown);
            scheduler.tick(now);
        }
        return now - claimedAt;
    }

    TimePoint claimedAt;
};
} // namespace

BOOST_FIXTURE_TEST_SUITE(LeasesSuite, ClaimedTargetFixture, *boost::unit_test::label("scheduling"))

// Issue 45: a task ran twice, since the lease that its target's earlier owner had granted outlived that of its start.
BOOST_AUTO_TEST_CASE(A_run_on_a_target_that_falls_silent_after_its_claim_is_not_repeated_while_a_lease_of_the_earlier_owner_may_last)
{
    startAndFallSilent(Milliseconds(230));
    const auto time = timeToSecondStart();
    BOOST_TEST((time > LongestLease));
    BOOST_TEST((time < LongestLease + Milliseconds(150)));
}

BOOST_AUTO_TEST_CASE(A_run_on_a_silent_target_that_was_claimed_long_before_waits_for_the_leases_of_its_own_dispatcher_only)
{
    startAndFallSilent(Seconds(3));
    // The lease of a start, 450 ms, and what a slow clock adds to it and to the time since the clock was read.
    BOOST_TEST((timeToSecondStart() < Seconds(3) + Milliseconds(450 + 150)));
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(LeaseBoundSuite, *boost::unit_test::label("scheduling"))

BOOST_AUTO_TEST_CASE(Before_the_first_claim_other_hosts_may_extend_leases_for_any_time)
{
    LeaseBound bound {Seconds(1)};
    const TimePoint begin {std::chrono::hours(1)};
    BOOST_TEST(!bound.hasPassed(begin));
    bound.onRequest(Milliseconds(450), Duration(0), begin);
    BOOST_TEST(!bound.hasPassed(begin + Seconds(60)));
}

BOOST_AUTO_TEST_CASE(After_a_claim_the_longest_lease_by_a_slow_clock_may_last)
{
    LeaseBound bound {Seconds(1)};
    const TimePoint begin {std::chrono::hours(1)};
    bound.onClaimed(begin);
    BOOST_TEST(!bound.hasPassed(begin + Milliseconds(1020)));
    BOOST_TEST(bound.hasPassed(begin + Milliseconds(1100)));
}

BOOST_AUTO_TEST_CASE(A_request_with_a_shorter_lease_does_not_shorten_a_longer_one)
{
    LeaseBound bound {Seconds(1)};
    const TimePoint begin {std::chrono::hours(1)};
    bound.onClaimed(begin);
    bound.onRequest(Seconds(1), Duration(0), begin + Seconds(5));
    const auto end = bound.endsBy();
    bound.onRequest(Milliseconds(450), Duration(0), begin + Seconds(5));
    BOOST_TEST((bound.endsBy() == end));
}

// A target whose clock has not been read for long may lag, so that the same reading comes later.
BOOST_AUTO_TEST_CASE(The_longer_ago_a_clock_was_read_the_later_its_leases_may_end)
{
    LeaseBound bound {Seconds(1)};
    const TimePoint begin {std::chrono::hours(1)};
    bound.onClaimed(begin);
    bound.onRequest(Milliseconds(450), Seconds(30), begin + Seconds(30));
    BOOST_TEST(!bound.hasPassed(begin + Seconds(30) + Milliseconds(1050)));
}

BOOST_AUTO_TEST_SUITE_END()
