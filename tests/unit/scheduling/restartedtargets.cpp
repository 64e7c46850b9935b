#include "scheduling/scheduler.h"

#include "schedulerfixture.h"

#include <boost/test/unit_test.hpp>

using namespace Anvilcart;
using namespace Anvilcart::Fleet;

namespace
{
/// Two targets. The restarted one was claimed in its first life, and has begun its second one; the scheduler does not know that yet.
struct RestartedTargetFixture : SchedulerFixture
{
    static constexpr std::uint64_t NextToken = Token + 1;

    RestartedTargetFixture()
    {
        claimTarget("restarted", 16000);
        claimTarget("other", 14000);
        now += Seconds(2);
        startedAtMs = 2;
    }

    /// A listing of the restarted target, which was made in its life that began at startedAtMs.
    RenewalReply listing(const std::vector<ActiveRun> &running, std::uint64_t token) const
    {
        RenewalReply reply;
        reply.result = RequestResult::Accepted;
        reply.fencingToken = token;
        reply.sequence = lastRenewal("restarted").sequence;
        reply.sentAt = lastRenewal("restarted").sentAt;
        reply.listing.clockMs = clockMs() - 2500;
        reply.listing.startedAtMs = startedAtMs;
        reply.listing.running = running;
        return reply;
    }

    /// Submits a job whose only task is started on the restarted target.
    RunName startOnRestartedTarget()
    {
        auto submission = job("j", 1, 15000);
        submission.callerDeadline = now + Seconds(9);
        submit(submission);
        BOOST_REQUIRE(port.starts.size() == 1);
        BOOST_REQUIRE(port.starts[0].target == "restarted");
        // From here on the other target has room, too.
        scheduler.updateTarget(entry("other", 32000));
        return port.starts[0].request.name;
    }

    /// The target answers nothing for this time; its renewals time out.
    void fallSilent(Duration time)
    {
        constexpr Milliseconds Timeout {330};
        const auto silentUntil = now + time;
        while (now < silentUntil) {
            now = std::min(now + Timeout, silentUntil);
            answerRenewal("restarted", {}, {}, RequestResult::Unknown);
            scheduler.tick(now);
        }
    }

    void claimAgain()
    {
        BOOST_REQUIRE(!port.restarted.empty());
        scheduler.addTarget(entry("restarted", 16000), NextToken, now);
    }
};
} // namespace

BOOST_FIXTURE_TEST_SUITE(RestartedTargetsSuite, RestartedTargetFixture, *boost::unit_test::label("scheduling"))

// Issue 27: the listing that showed the restart was made before the start arrived, and the task was started a second time.
BOOST_AUTO_TEST_CASE(A_start_that_the_first_listing_after_a_restart_lacks_is_not_repeated_before_the_target_is_claimed_again)
{
    const auto run = startOnRestartedTarget();
    now += Milliseconds(1);
    scheduler.onRenewalReply("restarted", listing({}, Token), now);
    advance(Milliseconds(25));
    BOOST_TEST(port.starts.size() == 1);
    claimAgain();
    now += Milliseconds(3);
    scheduler.onRenewalReply("restarted", listing({{run, 10}}, NextToken), now);
    advance(Milliseconds(25));
    BOOST_TEST(port.starts.size() == 1);
    BOOST_TEST(scheduler.runCount() == 1);
}

// Issue 48: as above, while the host has not claimed the target again.
BOOST_AUTO_TEST_CASE(A_listing_under_the_earlier_token_is_no_claim_of_the_new_life)
{
    startOnRestartedTarget();
    now += Milliseconds(1);
    answerStart(0);
    scheduler.onRenewalReply("restarted", listing({}, Token), now);
    const auto sentBefore = port.renewals.size();
    for (int late = 0; late < 2; ++late) {
        now += Milliseconds(5);
        auto reply = listing({}, Token);
        reply.sentAt = now - Milliseconds(2);
        scheduler.onRenewalReply("restarted", reply, now);
        scheduler.tick(now);
        BOOST_TEST(!scheduler.isListed("restarted"));
    }
    BOOST_TEST(port.starts.size() == 1);
    // Until then it is only asked whether it answers, which takes over nothing and extends no lease.
    for (auto sent = sentBefore; sent < port.renewals.size(); ++sent) {
        if (port.renewals[sent].first == "restarted") {
            BOOST_TEST(port.renewals[sent].second.fencingToken == 0);
            BOOST_TEST(port.renewals[sent].second.leaseUntilMs == 0);
        }
    }
    claimAgain();
    scheduler.onRenewalReply("restarted", listing({}, NextToken), now);
    BOOST_TEST(scheduler.isListed("restarted"));
}

BOOST_AUTO_TEST_CASE(A_run_that_a_restarted_target_has_confirmed_is_not_ended_by_a_listing_that_was_made_before)
{
    const auto run = startOnRestartedTarget();
    now += Milliseconds(1);
    answerStart(0);
    scheduler.onRenewalReply("restarted", listing({}, Token), now);
    advance(Milliseconds(25));
    BOOST_TEST(port.starts.size() == 1);
    claimAgain();
    scheduler.onRenewalReply("restarted", listing({{run, 10}}, NextToken), now);
    BOOST_TEST(scheduler.runCount() == 1);
}

BOOST_AUTO_TEST_CASE(An_unanswered_start_is_repeated_elsewhere_once_the_restarted_target_refuses_its_token)
{
    startOnRestartedTarget();
    now += Milliseconds(50);
    loseStart(0);
    now += Milliseconds(1);
    scheduler.onRenewalReply("restarted", listing({}, Token), now);
    advance(Milliseconds(25));
    // The start carries the token of the first life, and a deadline on its clock: it could still take effect.
    BOOST_TEST(startsButRepetitions().size() == 1);
    claimAgain();
    now += Milliseconds(3);
    scheduler.onRenewalReply("restarted", listing({}, NextToken), now);
    BOOST_REQUIRE(startsButRepetitions().size() == 2);
    BOOST_TEST(startsButRepetitions()[1].request.name.run == 2);
}

BOOST_AUTO_TEST_CASE(A_run_that_a_restart_has_ended_is_repeated_as_soon_as_the_target_is_claimed_again)
{
    startedAtMs = 1;
    const auto run = startOnRestartedTarget();
    now += Milliseconds(1);
    answerStart(0);
    answerRenewal("restarted", {{run, 10}});
    startedAtMs = 2;
    now += Milliseconds(100);
    scheduler.onRenewalReply("restarted", listing({}, Token), now);
    claimAgain();
    now += Milliseconds(3);
    scheduler.onRenewalReply("restarted", listing({}, NextToken), now);
    BOOST_TEST(port.starts.size() == 2);
}

// A host that stops retires its targets, also one whose runs are not certain yet.
BOOST_AUTO_TEST_CASE(A_target_that_is_retired_while_it_is_claimed_again_keeps_its_unanswered_starts)
{
    const auto run = startOnRestartedTarget();
    now += Milliseconds(1);
    scheduler.onRenewalReply("restarted", listing({}, Token), now);
    claimAgain();
    scheduler.retireTarget("restarted");
    BOOST_REQUIRE(scheduler.ownsTarget("restarted"));
    scheduler.onRenewalReply("restarted", listing({}, NextToken), now);
    BOOST_REQUIRE(port.starts.size() == 2);
    BOOST_TEST(port.starts[1].request.name.run == run.run + 1);
}

BOOST_AUTO_TEST_CASE(A_listing_of_the_earlier_life_that_is_read_after_one_of_the_new_life_changes_nothing)
{
    const auto earlier = [this] {
        startedAtMs = 1;
        auto reply = listing({}, NextToken);
        startedAtMs = 2;
        return reply;
    }();
    scheduler.onRenewalReply("restarted", listing({}, Token), now);
    claimAgain();
    now += Milliseconds(3);
    scheduler.onRenewalReply("restarted", listing({}, NextToken), now);
    scheduler.updateTarget(entryOfLife("restarted", 2, 16000));
    startOnRestartedTarget();
    scheduler.onRenewalReply("restarted", earlier, now);
    BOOST_TEST(port.restarted.size() == 1);
    BOOST_TEST(port.starts.size() == 1);
}

// Issue 35, review/4: a target that had restarted as another kind got tasks by the labels and the capacity of its earlier life.
BOOST_AUTO_TEST_CASE(A_restarted_target_gets_no_task_before_the_entry_of_its_new_life_is_known)
{
    scheduler.onRenewalReply("restarted", listing({}, Token), now);
    claimAgain();
    scheduler.onRenewalReply("restarted", listing({}, NextToken), now);
    auto submission = job("j", 1, 15000);
    submission.request.steps.front().requiredLabel = "a";
    submission.callerDeadline = now + Seconds(9);
    auto newEntry = entryOfLife("restarted", 2, 16000);
    scheduler.updateTarget([&] {
        auto oldEntry = entryOfLife("restarted", 1, 16000);
        oldEntry.labels = {"a"};
        return oldEntry;
    }());
    submit(submission);
    BOOST_TEST(port.starts.empty());
    newEntry.labels = {"b"};
    scheduler.updateTarget(newEntry);
    scheduler.tick(now);
    BOOST_TEST(port.starts.empty());
    newEntry.labels = {"a"};
    scheduler.updateTarget(newEntry);
    scheduler.tick(now);
    BOOST_TEST(port.starts.size() == 1);
}

// The start times of a target's entry and of its listings may come from different readings of a clock.
BOOST_AUTO_TEST_CASE(A_target_whose_listings_and_entry_differ_in_their_start_times_is_used_once_it_is_claimed)
{
    for (const std::int64_t entryBornAt : {5, 9}) {
        const auto id = "skewed " + std::to_string(entryBornAt);
        const auto skewedEntry = entryOfLife(id, entryBornAt, 60000);
        startedAtMs = 7;
        scheduler.addTarget(skewedEntry, Token, now);
        answerRenewal(id, {});
        scheduler.addTarget(skewedEntry, NextToken, now);
        answerRenewal(id, {});
        submit(job(id, 1, 50000));
        const bool isEntryEarlier = entryBornAt < startedAtMs;
        BOOST_TEST(port.starts.size() == (isEntryEarlier ? 0U : 1U));
    }
}

// Silence does not tell a cut target from one that has restarted behind the cut, where a start that was held up still takes effect.
BOOST_AUTO_TEST_CASE(An_unanswered_start_on_a_silent_target_is_not_repeated_elsewhere_when_its_lease_has_ended)
{
    startOnRestartedTarget();
    now += Milliseconds(50);
    loseStart(0);
    for (int period = 0; period < 40; ++period) {
        now += Milliseconds(60);
        answerRenewal("restarted", {}, {}, RequestResult::Unknown);
        scheduler.tick(now);
    }
    BOOST_TEST(startsButRepetitions().size() == 1);
    scheduler.onRenewalReply("restarted", listing({}, Token), now);
    claimAgain();
    scheduler.onRenewalReply("restarted", listing({}, NextToken), now);
    BOOST_TEST(startsButRepetitions().size() == 2);
}

// A lease that was computed on the earlier life's clock is cut to the longest lease by the new life.
BOOST_AUTO_TEST_CASE(A_run_that_an_unnoticed_new_life_has_confirmed_is_not_repeated_before_the_longest_lease_has_ended)
{
    startOnRestartedTarget();
    advance(Milliseconds(1));
    TargetReply reply;
    reply.result = RequestResult::Accepted;
    reply.clockMs = clockMs() - 2500;
    reply.fencingToken = Token;
    scheduler.onStartReply("restarted", port.starts[0].request.name, reply, now);
    fallSilent(Milliseconds(980));
    BOOST_TEST(port.starts.size() == 1);
    fallSilent(Milliseconds(300));
    BOOST_TEST(port.starts.size() == 2);
}

BOOST_AUTO_TEST_CASE(An_unanswered_start_is_repeated_elsewhere_once_another_incarnation_answers_at_the_endpoint)
{
    startOnRestartedTarget();
    now += Milliseconds(50);
    loseStart(0);
    for (int period = 0; period < 20; ++period) {
        now += Milliseconds(60);
        answerRenewal("restarted", {}, {}, RequestResult::WrongIncarnation);
        scheduler.tick(now);
    }
    BOOST_TEST(startsButRepetitions().size() == 2);
}

BOOST_AUTO_TEST_CASE(A_job_with_an_unanswered_start_on_a_silent_target_ends_at_its_deadline)
{
    startOnRestartedTarget();
    now += Milliseconds(50);
    loseStart(0);
    fallSilent(Milliseconds(8900));
    BOOST_TEST(port.ended.empty());
    fallSilent(Milliseconds(400));
    BOOST_REQUIRE(port.ended.size() == 1);
    BOOST_TEST((port.ended[0].result.end == JobEnd::Abandoned));
    BOOST_TEST(scheduler.jobCount() == 0);
}

BOOST_AUTO_TEST_CASE(A_job_with_an_unanswered_start_on_a_target_that_answers_no_claim_ends_at_its_deadline)
{
    startOnRestartedTarget();
    now += Milliseconds(1);
    scheduler.onRenewalReply("restarted", listing({}, Token), now);
    claimAgain();
    loseStart(0);
    fallSilent(Milliseconds(9300));
    BOOST_TEST(port.ended.size() == 1);
    BOOST_TEST(scheduler.jobCount() == 0);
}

BOOST_AUTO_TEST_CASE(A_job_that_is_sent_again_beside_its_unanswered_start_ends_at_its_new_deadline)
{
    startOnRestartedTarget();
    now += Milliseconds(50);
    loseStart(0);
    fallSilent(Milliseconds(9300));
    auto again = job("j", 1, 15000);
    again.callerDeadline = now + Seconds(2);
    submit(again);
    fallSilent(Milliseconds(1900));
    BOOST_TEST(startsButRepetitions().size() == 1);
    fallSilent(Milliseconds(400));
    BOOST_TEST(port.ended.size() == 2);
    BOOST_TEST(scheduler.jobCount() == 0);
}

// The entry of a target that is cut off from the store expires, too.
BOOST_AUTO_TEST_CASE(An_unanswered_start_on_a_silent_target_is_not_repeated_elsewhere_when_the_entry_is_gone)
{
    startOnRestartedTarget();
    now += Milliseconds(50);
    loseStart(0);
    fallSilent(Milliseconds(1000));
    scheduler.onEntryGone("restarted");
    fallSilent(Milliseconds(1000));
    BOOST_TEST(startsButRepetitions().size() == 1);
    fallSilent(Seconds(14));
    BOOST_TEST(port.ended.size() == 1);
    BOOST_TEST(port.released.size() == 1);
}

// Until the claim arrives, the target carries out late orders of its earlier life.
BOOST_AUTO_TEST_CASE(A_claim_of_a_restarted_target_that_answers_is_repeated_at_once_when_it_is_lost)
{
    constexpr Milliseconds ClaimTimeout {60};
    scheduler.onRenewalReply("restarted", listing({}, Token), now);
    claimAgain();
    BOOST_REQUIRE(lastRenewal("restarted").fencingToken == NextToken);
    for (int lost = 0; lost < 3; ++lost) {
        const auto sent = port.renewals.size();
        now += ClaimTimeout;
        answerRenewal("restarted", {}, {}, RequestResult::Unknown);
        BOOST_TEST(port.renewals.size() == sent + 1);
        BOOST_TEST(lastRenewal("restarted").fencingToken == NextToken);
    }
    now += Milliseconds(1);
    scheduler.onRenewalReply("restarted", listing({}, NextToken), now);
    BOOST_TEST(scheduler.isListed("restarted"));
}

// A cut may have begun, at whose end the messages of hosts beyond it must arrive before the claim.
BOOST_AUTO_TEST_CASE(A_restarted_target_that_is_silent_for_long_is_probed_before_it_is_claimed_again)
{
    constexpr Milliseconds ClaimTimeout {60};
    scheduler.onRenewalReply("restarted", listing({}, Token), now);
    claimAgain();
    const auto silentSince = now;
    while (now < silentSince + Milliseconds(700)) {
        now += ClaimTimeout;
        answerRenewal("restarted", {}, {}, RequestResult::Unknown);
    }
    advance(Seconds(2));
    BOOST_TEST(lastRenewal("restarted").fencingToken == 0);
}

BOOST_AUTO_TEST_CASE(The_first_claim_of_a_target_that_is_lost_is_followed_by_probes)
{
    scheduler.addTarget(entry("new"), Token, now);
    now += Milliseconds(60);
    answerRenewal("new", {}, {}, RequestResult::Unknown);
    advance(Milliseconds(200));
    BOOST_TEST(lastRenewal("new").fencingToken == 0);
}

// Review 10: an idle target came back as another kind, and got tasks by the labels of its earlier life until its entry was read again.
BOOST_FIXTURE_TEST_CASE(A_target_that_has_closed_its_connections_is_listed_before_the_next_start, RestartedTargetFixture)
{
    const auto name = startOnRestartedTarget();
    const auto renewals = port.renewals.size();
    answerStart(0, RequestResult::ConnectionClosed);
    BOOST_TEST_REQUIRE(port.renewals.size() == renewals + 1);
    BOOST_TEST(port.renewals.back().first == "restarted");
    BOOST_TEST(port.renewals.back().second.waitMs == 0);
    // The task goes to the other target meanwhile, and nothing counts as run on this one.
    BOOST_TEST_REQUIRE(port.starts.size() == 2);
    BOOST_TEST(port.starts[1].target == "other");
    BOOST_TEST((port.starts[1].request.name.task == name.task));
    scheduler.onRenewalReply("restarted", listing({}, Token), now);
    BOOST_TEST(port.restarted.size() == 1);
}

BOOST_FIXTURE_TEST_CASE(A_target_that_has_closed_idle_connections_without_a_restart_is_used_again, RestartedTargetFixture)
{
    startedAtMs = 1;
    startOnRestartedTarget();
    answerStart(0, RequestResult::ConnectionClosed);
    answerRenewal("restarted", {});
    BOOST_TEST(port.restarted.empty());
    submit(job("k", 1, 15000));
    BOOST_TEST_REQUIRE(port.starts.size() == 3);
    BOOST_TEST(port.starts[2].target == "restarted");
}

// Review 6: the answer to a repetition confirmed the run. The task started elsewhere when its lease had ended, and the unanswered first
// order started it again when the target had restarted.
BOOST_FIXTURE_TEST_CASE(A_task_with_an_unanswered_copy_of_its_start_waits_until_its_silent_target_is_claimed_again, RestartedTargetFixture)
{
    startOnRestartedTarget();
    answerStart(0, RequestResult::Unknown);
    BOOST_TEST_REQUIRE(port.starts.size() == 2);
    answerStart(1);
    fallSilent(Seconds(4));
    BOOST_TEST(startsButRepetitions().size() == 1);
    scheduler.onRenewalReply("restarted", listing({}, Token), now);
    BOOST_TEST(startsButRepetitions().size() == 1);
    claimAgain();
    scheduler.onRenewalReply("restarted", listing({}, NextToken), now);
    BOOST_TEST(startsButRepetitions().size() == 2);
}

// The other way round: each copy of the start was answered, so that the end of the lease shows the end of the run.
BOOST_FIXTURE_TEST_CASE(A_task_whose_only_start_was_answered_starts_elsewhere_when_its_lease_has_ended, RestartedTargetFixture)
{
    startOnRestartedTarget();
    answerStart(0);
    fallSilent(Seconds(4));
    BOOST_TEST(startsButRepetitions().size() == 2);
}

// Review 6: the second run of the task was listed beside the first and went on until its lease ended.
BOOST_FIXTURE_TEST_CASE(A_run_that_is_found_beside_the_next_run_of_its_task_is_stopped, RestartedTargetFixture)
{
    const auto name = startOnRestartedTarget();
    answerStart(0);
    fallSilent(Seconds(4));
    BOOST_TEST_REQUIRE(startsButRepetitions().size() == 2);
    scheduler.onRenewalReply("restarted", listing({{name, 10}}, Token), now);
    const bool isStopped = std::any_of(port.stops.begin(), port.stops.end(), [&](const auto &stop) {
        return stop.first == "restarted" && stop.second.name == name;
    });
    BOOST_TEST(isStopped);
}

BOOST_AUTO_TEST_SUITE_END()
