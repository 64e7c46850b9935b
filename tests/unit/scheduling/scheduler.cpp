#include "scheduling/scheduler.h"

#include "schedulerfixture.h"

#include <boost/test/unit_test.hpp>

using namespace Anvilcart;
using namespace Anvilcart::Fleet;

BOOST_FIXTURE_TEST_SUITE(SchedulerSuite, SchedulerFixture, *boost::unit_test::label("scheduling"))

BOOST_AUTO_TEST_CASE(A_job_is_completed_when_its_last_task_has_succeeded)
{
    claimTarget("t1");
    submit(job("j", 2));
    BOOST_TEST(port.starts.size() == 2);
    answerStart(0);
    answerStart(1);
    now += Milliseconds(50);
    answerRenewal("t1", {{port.starts[1].request.name, 50}}, {{1, port.starts[0].request.name, RunEnd::Done}});
    BOOST_TEST(port.ended.empty());
    answerRenewal("t1", {}, {{2, port.starts[1].request.name, RunEnd::Done}});
    BOOST_TEST(port.ended.size() == 1);
    BOOST_TEST((port.ended.at(0).result.end == JobEnd::Completed));
}

BOOST_AUTO_TEST_CASE(No_task_is_started_on_a_target_that_has_not_been_listed)
{
    scheduler.addTarget(entry("t1"), Token, now);
    submit(job("j"));
    BOOST_TEST(port.starts.empty());
    answerRenewal("t1", {});
    BOOST_TEST(port.starts.size() == 1);
}

BOOST_AUTO_TEST_CASE(A_target_is_never_given_more_than_its_capacity)
{
    claimTarget("t1");
    submit(job("j1", 3));
    BOOST_TEST(port.starts.size() == 2);
}

BOOST_AUTO_TEST_CASE(A_target_whose_capacity_shrinks_is_given_a_task_only_when_its_runs_leave_room)
{
    claimTarget("t1");
    submit(job("j1", 2));
    BOOST_REQUIRE(port.starts.size() == 2);
    answerStart(0);
    answerStart(1);
    scheduler.updateTarget(entry("t1", 16000));
    submit(job("j2"));
    now += Milliseconds(50);
    answerRenewal("t1", {{port.starts[1].request.name, 50}}, {{1, port.starts[0].request.name, RunEnd::Done}});
    // 14 of 16 cores are still in use.
    BOOST_TEST(port.starts.size() == 2);
    answerRenewal("t1", {}, {{2, port.starts[1].request.name, RunEnd::Done}});
    BOOST_TEST(port.starts.size() == 3);
    submit(job("j3"));
    BOOST_TEST(port.starts.size() == 3);
    scheduler.updateTarget(entry("t1", 32000));
    advance(Milliseconds(25));
    BOOST_TEST(port.starts.size() == 4);
}

BOOST_AUTO_TEST_CASE(Runs_of_unknown_jobs_occupy_their_whole_target_until_they_have_ended)
{
    scheduler.addTarget(entry("t1"), Token, now);
    const RunName unknownRun {{"stranger", 0, 0, 0}, 1};
    answerRenewal("t1", {{unknownRun, 10}});
    submit(job("j"));
    BOOST_TEST(port.starts.empty());
    advance(Milliseconds(300));
    BOOST_TEST(port.stops.size() == 1);
    answerRenewal("t1", {}, {{1, unknownRun, RunEnd::Stopped}});
    BOOST_TEST(port.starts.size() == 1);
}

BOOST_AUTO_TEST_CASE(An_unanswered_start_reserves_capacity_until_its_deadline_on_the_targets_clock)
{
    claimTarget("t1");
    submit(job("j1", 2));
    answerStart(0);
    loseStart(1);
    submit(job("j2"));
    BOOST_TEST(startsButRepetitions().size() == 2);
    now += Milliseconds(300);
    answerRenewal("t1", {{port.starts[0].request.name, 50}});
    BOOST_TEST(startsButRepetitions().size() == 2);
    now += Milliseconds(400);
    answerRenewal("t1", {{port.starts[0].request.name, 80}});
    BOOST_TEST(startsButRepetitions().size() == 3);
}

BOOST_AUTO_TEST_CASE(A_listing_requested_before_a_run_was_confirmed_does_not_end_it)
{
    claimTarget("t1");
    submit(job("j1", 2));
    answerStart(0);
    // The renewal that follows the first start is in flight when the second start is confirmed.
    now += Milliseconds(5);
    answerStart(1);
    answerRenewal("t1", {{port.starts[0].request.name, 5}});
    submit(job("j2"));
    BOOST_TEST(port.starts.size() == 2);
}

BOOST_AUTO_TEST_CASE(Runs_of_an_unresponsive_target_are_restarted_elsewhere_only_after_their_leases_have_ended)
{
    claimTarget("t1");
    auto patient = job("j1");
    patient.callerDeadline += Seconds(10);
    submit(patient);
    answerStart(0);
    claimTarget("t2");
    auto lastLeaseAt = now;
    auto answered = port.renewals.size();
    while (port.starts.size() == 1 && now < Begin + Seconds(5)) {
        advance(Milliseconds(50));
        if (port.renewals.size() > answered) {
            lastLeaseAt = lastRenewal("t1").leaseUntilMs > 0 ? now : lastLeaseAt;
            answered = port.renewals.size();
        }
        if ((now - Begin) % Milliseconds(200) == Duration(0)) {
            answerRenewal("t1", {}, {}, RequestResult::Unknown);
        }
    }
    BOOST_TEST(port.starts.size() == 2);
    BOOST_TEST((now - lastLeaseAt >= Seconds(1)));
    BOOST_TEST((now - Begin < Milliseconds(2500)));
    BOOST_TEST(port.starts.at(1).target == "t2");
    BOOST_TEST(port.starts.at(1).request.name.run == 2);
}

// Issue 24: renewals that a crashed target could not answer kept its lost runs from being started elsewhere.
BOOST_AUTO_TEST_CASE(Runs_of_a_silent_target_are_restarted_one_lease_after_its_last_answer)
{
    claimTarget("t1");
    claimTarget("t2");
    auto submission = job("j");
    submission.callerDeadline = now + Seconds(9);
    submit(submission);
    answerStart(0);
    const auto lost = port.starts[0].target;
    while (port.starts.size() == 1 && now - Begin < Seconds(3)) {
        now += Milliseconds(60);
        answerRenewal(lost, {}, {}, RequestResult::Unknown);
        scheduler.tick(now);
    }
    // The longest lease is 1 s; the rest is for one renewal on its way and the drift of clocks.
    BOOST_TEST((now - Begin <= Milliseconds(1400)));
    BOOST_TEST((now - Begin > Milliseconds(1000)));
}

// Case wake-during-roll, seed 5: both sides of a partition used the run's target. The host that had started the run waited for the end of
// the lease that it had granted, but the other one had extended it.
BOOST_AUTO_TEST_CASE(The_lease_of_a_run_is_not_extended_before_its_job_is_known)
{
    scheduler.addTarget(entry("t1"), Token, now);
    const RunName run {{"j", 0, 0, 0}, 1};
    answerRenewal("t1", {{run, 10}});
    for (int renewal = 0; renewal < 3; ++renewal) {
        now += Milliseconds(60);
        answerRenewal("t1", {{run, 20}});
        BOOST_TEST(lastRenewal("t1").leaseUntilMs == 0);
    }
    submit(withRun(job("j"), "t1", run));
    answerRenewal("t1", {{run, 30}});
    BOOST_TEST(lastRenewal("t1").leaseUntilMs > 0);
}

BOOST_AUTO_TEST_CASE(A_run_of_another_host_on_a_silent_target_is_not_repeated_before_the_longest_lease_has_ended)
{
    claimTarget("t1");
    scheduler.addTarget(entry("t2"), Token, now);
    const RunName run {{"j", 0, 0, 0}, 1};
    answerRenewal("t2", {{run, 10}});
    for (int period = 0; period < 15; ++period) {
        now += Milliseconds(60);
        answerRenewal("t2", {}, {}, RequestResult::Unknown);
        scheduler.tick(now);
    }
    submit(withRun(job("j"), "t2", run));
    BOOST_TEST(port.starts.empty());
}

BOOST_AUTO_TEST_CASE(A_reply_to_a_request_of_an_earlier_ownership_is_ignored)
{
    claimTarget("t1");
    scheduler.loseTarget("t1", now);
    scheduler.addTarget(entry("t1"), Token + 1, now);
    RenewalReply stale;
    stale.result = RequestResult::Accepted;
    stale.fencingToken = Token;
    stale.listing.clockMs = clockMs();
    scheduler.onRenewalReply("t1", stale, now);
    BOOST_TEST(!scheduler.isListed("t1"));
    submit(job("j"));
    BOOST_TEST(port.starts.empty());
}

BOOST_AUTO_TEST_CASE(A_restarted_target_is_used_again_only_under_a_higher_token)
{
    claimTarget("t1");
    submit(job("j1"));
    answerStart(0);
    startedAtMs = 2;
    answerRenewal("t1", {});
    BOOST_TEST(port.restarted.size() == 1);
    BOOST_TEST(port.starts.size() == 1);
    scheduler.addTarget(entry("t1"), Token + 1, now);
    BOOST_TEST(lastRenewal("t1").fencingToken == Token + 1);
    BOOST_TEST(lastRenewal("t1").acknowledgedPosition == 0);
    answerRenewal("t1", {});
    BOOST_TEST(port.starts.size() == 1);
    scheduler.updateTarget(entryOfLife("t1", 2));
    scheduler.tick(now);
    BOOST_TEST(port.starts.size() == 2);
}

// Case wake-during-roll: a host that woke read two listings in the wrong order, took the target for restarted, and started its runs again.
BOOST_AUTO_TEST_CASE(A_listing_that_is_read_after_a_newer_one_changes_nothing)
{
    claimTarget("t1");
    claimTarget("t2");
    submit(job("j"));
    const auto started = port.starts.at(0);
    answerStart(0);
    now += Milliseconds(20);
    answerRenewal(started.target, {{started.request.name, 10}});
    RenewalReply older;
    older.result = RequestResult::Accepted;
    older.fencingToken = Token;
    older.sequence = lastRenewal(started.target).sequence;
    older.listing.startedAtMs = startedAtMs;
    older.listing.clockMs = clockMs() - 1;
    scheduler.onRenewalReply(started.target, older, now);
    BOOST_TEST(observer.losses.empty());
    BOOST_TEST(port.restarted.empty());
    BOOST_TEST(port.starts.size() == 1);
    BOOST_TEST(scheduler.runCount() == 1);
}

BOOST_AUTO_TEST_CASE(A_job_fails_when_a_task_has_failed_as_often_as_its_route_allows)
{
    claimTarget("t1");
    claimTarget("t2");
    submit(job("j"));
    answerStart(0);
    endRun(0, RunEnd::Failed);
    BOOST_TEST(port.starts.size() == 2);
    BOOST_TEST(port.starts[0].target != port.starts[1].target);
    answerStart(1);
    endRun(1, RunEnd::Failed);
    BOOST_TEST(port.ended.size() == 1);
    BOOST_TEST((port.ended.at(0).result.end == JobEnd::Failed));
    BOOST_TEST(scheduler.jobCount() == 0);
}

BOOST_AUTO_TEST_CASE(A_cancelled_job_is_stopped_and_not_answered)
{
    claimTarget("t1");
    submit(job("j", 2));
    answerStart(0);
    answerStart(1);
    scheduler.cancel("j", "entry", now);
    BOOST_TEST(port.stops.size() == 2);
    answerRenewal("t1", {}, {{1, port.starts[0].request.name, RunEnd::Stopped}, {2, port.starts[1].request.name, RunEnd::Stopped}});
    BOOST_TEST(port.ended.empty());
    BOOST_TEST(scheduler.jobCount() == 0);
}

BOOST_AUTO_TEST_CASE(A_job_resubmitted_while_it_is_being_stopped_starts_only_when_its_runs_have_ended)
{
    claimTarget("t1");
    claimTarget("t2");
    submit(job("j"));
    answerStart(0);
    scheduler.cancelAllOf("entry", now);
    auto again = job("j");
    again.entryHost = "other entry";
    submit(again);
    BOOST_TEST(port.starts.size() == 1);
    endRun(0, RunEnd::Stopped);
    BOOST_TEST(port.starts.size() == 2);
}

BOOST_AUTO_TEST_CASE(A_job_that_cannot_meet_its_deadline_is_refused_immediately_as_not_run)
{
    claimTarget("t1");
    auto infeasible = job("j", 1, 14000, Milliseconds(2500));
    submit(infeasible);
    BOOST_TEST(port.starts.empty());
    BOOST_TEST(port.ended.size() == 1);
    BOOST_TEST((port.ended.at(0).result.end == JobEnd::NotRun));
    BOOST_TEST((port.ended.at(0).result.retryAfter >= Seconds(1)));
}

BOOST_AUTO_TEST_CASE(A_job_that_exceeds_the_capacity_of_every_target_is_refused_immediately)
{
    claimTarget("t1");
    submit(job("j", 1, 40000));
    BOOST_TEST((port.ended.at(0).result.reason == JobEndReason::NeverFits));
}

BOOST_AUTO_TEST_CASE(A_draining_target_is_given_no_new_task)
{
    claimTarget("t1");
    auto draining = entry("t1");
    draining.draining = true;
    scheduler.updateTarget(draining);
    submit(job("j"));
    BOOST_TEST(port.starts.empty());
}

BOOST_AUTO_TEST_CASE(Two_consecutive_failed_jobs_eject_their_target_which_is_then_tried_with_one_run)
{
    claimTarget("t2", 16000);
    auto longJob = job("long", 1, 14000, Milliseconds(400));
    longJob.callerDeadline += Seconds(10);
    submit(longJob);
    claimTarget("t1", 16000);
    runTwoFailingJobs();
    BOOST_TEST(observer.ejections.size() == 1);
    const auto before = port.starts.size();
    submit(job("j3", 3));
    BOOST_TEST(port.starts.size() == before);
    advance(Milliseconds(1100));
    BOOST_TEST(port.starts.size() == before + 1);
    BOOST_TEST(port.starts.back().target == "t1");
}

BOOST_AUTO_TEST_CASE(The_last_target_is_never_ejected)
{
    claimTarget("t1", 16000);
    runTwoFailingJobs();
    BOOST_TEST(observer.ejections.empty());
}

BOOST_AUTO_TEST_CASE(One_job_that_always_fails_ejects_no_target)
{
    claimTarget("t1");
    claimTarget("t2");
    claimTarget("t3");
    auto failing = job("j1");
    failing.maxAttempts = 3;
    submit(failing);
    for (std::size_t attempt = 0; attempt < 3; ++attempt) {
        answerStart(attempt);
        endRun(attempt, RunEnd::Failed);
    }
    BOOST_TEST(observer.ejections.empty());
}

BOOST_AUTO_TEST_CASE(A_run_without_progress_is_stopped_and_started_elsewhere)
{
    claimTarget("t1");
    claimTarget("t2");
    submit(job("j"));
    answerStart(0);
    const auto hung = port.starts[0];
    for (int i = 0; i < 10 && port.stops.empty(); ++i) {
        now += Milliseconds(100);
        answerRenewal(hung.target, {{hung.request.name, 0}});
        scheduler.tick(now);
    }
    BOOST_TEST(port.stops.size() >= 1);
    answerRenewal(hung.target, {}, {{1, hung.request.name, RunEnd::Stopped}});
    BOOST_TEST(port.starts.size() == 2);
    BOOST_TEST(port.starts[1].target != hung.target);
}

BOOST_AUTO_TEST_CASE(Runs_on_an_unresponsive_target_are_not_treated_as_hung)
{
    claimTarget("t1");
    claimTarget("t2");
    submit(job("j"));
    answerStart(0);
    const auto target = port.starts[0].target;
    now += Milliseconds(50);
    answerRenewal(target, {{port.starts[0].request.name, 50}});
    for (int i = 0; i < 8; ++i) {
        advance(Milliseconds(100));
    }
    BOOST_TEST(observer.ejections.empty());
    BOOST_TEST(port.stops.empty());
}

BOOST_AUTO_TEST_CASE(After_an_unanswered_claim_a_target_is_probed_without_being_taken_over)
{
    scheduler.addTarget(entry("t1"), Token, now);
    answerRenewal("t1", {}, {}, RequestResult::Unknown);
    advance(Milliseconds(200));
    BOOST_TEST(lastRenewal("t1").fencingToken == 0);
    answerRenewal("t1", {}, {}, RequestResult::Fenced);
    BOOST_TEST(port.lost.empty());
    advance(Milliseconds(200));
    BOOST_TEST(lastRenewal("t1").fencingToken == 0);
    answerRenewal("t1", {}, {}, RequestResult::Fenced);
    advance(Milliseconds(400));
    BOOST_TEST(lastRenewal("t1").fencingToken == Token);
}

BOOST_AUTO_TEST_CASE(A_target_whose_entry_is_gone_is_removed_once_its_runs_have_ended)
{
    claimTarget("t1");
    submit(job("j"));
    answerStart(0);
    scheduler.onEntryGone("t1");
    advance(Milliseconds(25));
    BOOST_TEST(scheduler.ownsTarget("t1"));
    endRun(0, RunEnd::Done);
    BOOST_TEST(port.ended.size() == 1);
    advance(Milliseconds(25));
    BOOST_TEST(!scheduler.ownsTarget("t1"));
    BOOST_TEST(port.released.size() == 1);
}

BOOST_AUTO_TEST_CASE(A_target_whose_entry_comes_back_is_used_again)
{
    claimTarget("t1");
    submit(job("j1"));
    answerStart(0);
    scheduler.onEntryGone("t1");
    submit(job("j2"));
    BOOST_TEST(port.starts.size() == 1);
    BOOST_TEST((port.ended.at(0).result.end == JobEnd::NotRun));
    scheduler.updateTarget(entry("t1"));
    submit(job("j3"));
    BOOST_TEST(port.starts.size() == 2);
}

BOOST_AUTO_TEST_CASE(A_retired_target_is_released_when_it_is_idle_and_starts_no_new_job)
{
    claimTarget("t1");
    submit(job("j1", 2));
    answerStart(0);
    answerStart(1);
    scheduler.retireTarget("t1");
    now += Milliseconds(50);
    answerRenewal("t1", {{port.starts[1].request.name, 50}}, {{1, port.starts[0].request.name, RunEnd::Done}});
    submit(job("j2"));
    BOOST_TEST(port.starts.size() == 2);
    answerRenewal("t1", {}, {{2, port.starts[1].request.name, RunEnd::Done}});
    advance(Milliseconds(25));
    BOOST_TEST(port.released.size() == 1);
}

BOOST_AUTO_TEST_CASE(A_dispatcher_without_free_capacity_redirects_jobs_to_one_that_has_some)
{
    claimTarget("t1");
    submit(job("j1", 2, 14000, Milliseconds(400)));
    PeerDispatcher peer;
    peer.host = "peer";
    peer.loads.push_back({"service", 4, 0, Duration(0)});
    scheduler.setPeers({peer});
    submit(job("j2", 2));
    BOOST_TEST(port.ended.size() == 1);
    BOOST_TEST((port.ended.at(0).result.reason == JobEndReason::BetterElsewhere));
    BOOST_TEST(port.ended.at(0).result.preferredDispatcher == "peer");
}

// Seed 6652 of the emulator: two hosts dispatched to a target that had restarted while it was idle.
BOOST_AUTO_TEST_CASE(A_target_whose_entry_shows_a_restart_is_claimed_again_before_any_start)
{
    claimTarget("t1");
    auto restarted = entry("t1");
    restarted.startedAtMs = 2;
    scheduler.updateTarget(restarted);
    BOOST_TEST(port.restarted.size() == 1);
    submit(job("j"));
    BOOST_TEST(port.starts.empty());
    startedAtMs = 2;
    scheduler.addTarget(restarted, Token + 1, now);
    answerRenewal("t1", {});
    BOOST_TEST(port.restarted.size() == 2);
    scheduler.addTarget(restarted, Token + 2, now);
    answerRenewal("t1", {});
    BOOST_TEST(port.starts.size() == 1);
}

// Incident inc-ed26: such jobs were refused for load, with an empty queue.
BOOST_AUTO_TEST_CASE(A_job_that_reaches_a_dispatcher_after_it_has_yielded_its_targets_is_sent_elsewhere)
{
    claimTarget("t1");
    submit(job("running"));
    scheduler.retireTarget("t1");
    submit(job("late"));
    BOOST_REQUIRE(port.ended.size() == 1);
    BOOST_TEST((port.ended.at(0).result.reason == JobEndReason::NoTargets));
}

BOOST_AUTO_TEST_CASE(A_job_of_a_lost_dispatcher_adopts_its_known_runs_and_delays_its_other_tasks)
{
    scheduler.addTarget(entry("t1"), Token, now);
    const RunName found {{"j", 0, 0, 0}, 1};
    answerRenewal("t1", {{found, 40}});
    auto submission = job("j", 2);
    submission.lostDispatcherRunsEndBy = now + Milliseconds(1100);
    submission.lostDispatcher = "lost#1";
    submit(withRun(submission, "t1", found));
    BOOST_TEST(port.starts.empty());
    scheduler.onTakeoverComplete("lost#1", now);
    BOOST_TEST(port.starts.size() == 1);
    BOOST_TEST(port.starts.at(0).request.name.task.index == 1);
}

// kbw-turnery, flapping-zone varied, seed 341382593056: a dispatcher that was cut off from a run's target started the task again at the end
// of the lease that it had granted, under a grant that still held. The next dispatcher had extended the lease meanwhile.
BOOST_AUTO_TEST_CASE(The_lease_of_an_adopted_run_is_not_extended_while_its_earlier_dispatcher_may_start_the_task_elsewhere)
{
    scheduler.addTarget(entry("t1"), Token, now);
    const RunName found {{"j", 0, 0, 0}, 1};
    answerRenewal("t1", {{found, 40}});
    auto submission = job("j");
    submission.lostDispatcherRunsEndBy = now + Milliseconds(1100);
    submission.lostDispatcher = "lost#1";
    submit(withRun(submission, "t1", found));
    now += Milliseconds(60);
    answerRenewal("t1", {{found, 50}});
    BOOST_TEST(lastRenewal("t1").leaseUntilMs == 0);
    // A start would extend the leases of the whole target.
    submit(job("other"));
    BOOST_TEST(port.starts.empty());
    scheduler.onTakeoverComplete("lost#1", now);
    answerRenewal("t1", {{found, 60}});
    BOOST_TEST(lastRenewal("t1").leaseUntilMs > 0);
    BOOST_TEST(port.starts.size() == 1);
}

BOOST_AUTO_TEST_CASE(A_target_is_used_again_once_no_earlier_dispatcher_of_its_adopted_run_can_start_the_task)
{
    scheduler.addTarget(entry("t1"), Token, now);
    const RunName found {{"j", 0, 0, 0}, 1};
    answerRenewal("t1", {{found, 40}});
    auto submission = job("j");
    submission.callerDeadline += Seconds(9);
    submission.earlierRunsEndBy = now + Milliseconds(300);
    submit(withRun(submission, "t1", found));
    now += Milliseconds(310);
    answerRenewal("t1", {{found, 70}});
    BOOST_TEST(lastRenewal("t1").leaseUntilMs > 0);
}

// The bench's day fresh-7482: the new dispatcher knew a run before its job arrived, and had just sent the stop.
BOOST_AUTO_TEST_CASE(A_task_whose_earlier_run_is_being_stopped_starts_only_after_the_end_of_that_run)
{
    scheduler.addTarget(entry("t1"), Token, now);
    claimTarget("t2");
    const RunName found {{"j", 0, 0, 0}, 1};
    answerRenewal("t1", {{found, 40}});
    advance(Milliseconds(300));
    BOOST_REQUIRE(port.stops.size() == 1);
    submit(withRun(job("j"), "t1", found));
    BOOST_TEST(port.starts.empty());
    answerRenewal("t1", {}, {{1, found, RunEnd::Stopped}});
    BOOST_REQUIRE(port.starts.size() == 1);
    BOOST_TEST(port.starts.at(0).request.name.run == 2);
}

// The objective is 1.6 * 100 ms + 60 ms = 220 ms, so a job is overdue when its end is expected after 660 ms.
BOOST_AUTO_TEST_CASE(An_overdue_job_waits_behind_all_others_and_starts_when_none_is_left)
{
    claimTarget("t1");
    for (const auto *id : {"running 1", "running 2"}) {
        auto running = job(id);
        running.request.steps[0].estimate = Seconds(1);
        running.callerDeadline = now + Seconds(9);
        submit(running);
    }
    answerStart(0);
    answerStart(1);
    auto old = job("old");
    old.callerDeadline = now + Seconds(9);
    submit(old);
    advance(Milliseconds(600));
    submit(job("fresh"));
    BOOST_REQUIRE(port.starts.size() == 2);
    answerRenewal("t1", {{port.starts[1].request.name, 50}}, {{1, port.starts[0].request.name, RunEnd::Done}});
    BOOST_REQUIRE(port.starts.size() == 3);
    BOOST_TEST(port.starts[2].request.name.task.jobId == "fresh");
    answerStart(2);
    answerRenewal("t1", {{port.starts[2].request.name, 50}}, {{2, port.starts[1].request.name, RunEnd::Done}});
    BOOST_REQUIRE(port.starts.size() == 4);
    BOOST_TEST(port.starts[3].request.name.task.jobId == "old");
}

BOOST_AUTO_TEST_CASE(Jobs_whose_objective_leaves_no_slack_are_not_late_on_arrival)
{
    claimTarget("t1");
    submit(job("running", 2));
    for (const auto *id : {"tight 1", "tight 2"}) {
        auto tight = job(id);
        tight.stretchFactor = 1;
        tight.targetLatency = Milliseconds(0);
        submit(tight);
    }
    scheduler.tick(now);
    submit(job("loose"));
    answerStart(0);
    answerStart(1);
    answerRenewal("t1", {{port.starts[1].request.name, 50}}, {{1, port.starts[0].request.name, RunEnd::Done}});
    BOOST_REQUIRE(port.starts.size() == 3);
    answerStart(2);
    answerRenewal("t1", {{port.starts[2].request.name, 50}}, {{2, port.starts[1].request.name, RunEnd::Done}});
    BOOST_REQUIRE(port.starts.size() == 4);
    BOOST_TEST(port.starts[2].request.name.task.jobId == "tight 1");
    BOOST_TEST(port.starts[3].request.name.task.jobId == "tight 2");
}

BOOST_AUTO_TEST_CASE(An_overdue_job_is_refused_when_those_ahead_take_longer_than_its_caller_waits)
{
    claimTarget("t1");
    auto running = job("running", 2);
    running.request.steps[0].estimate = Seconds(5);
    running.callerDeadline = now + Seconds(20);
    submit(running);
    answerStart(0);
    answerStart(1);
    submit(job("old"));
    auto ahead = job("ahead", 4);
    ahead.request.steps[0].estimate = Seconds(5);
    ahead.callerDeadline = now + Seconds(30);
    submit(ahead);
    BOOST_TEST(port.ended.empty());
    advance(Milliseconds(600));
    BOOST_REQUIRE(port.ended.size() == 1);
    BOOST_TEST(port.ended[0].job.request.id == "old");
    BOOST_TEST((port.ended[0].result.end == JobEnd::NotRun));
    BOOST_TEST((port.ended[0].result.retryAfter >= Seconds(1)));
}

// Found by the emulator's check of refusals, seeds 1013 and 1023: after all hosts had been killed, jobs that had run were resubmitted and
// then reported to their callers as not run.
BOOST_AUTO_TEST_CASE(A_resubmitted_job_that_ran_before_is_not_reported_as_never_run)
{
    scheduler.addTarget(entry("t1"), Token, now);
    const RunName ended {{"ended", 0, 0, 0}, 1};
    const RunName running {{"running", 0, 0, 0}, 1};
    auto unknown = job("unknown");
    unknown.callerDeadline = now + Milliseconds(1);
    submit(unknown);
    answerRenewal("t1", {{running, 10}}, {{1, ended, RunEnd::LeaseExpired}});
    for (const auto *id : {"ended", "fresh"}) {
        auto infeasible = job(id);
        infeasible.callerDeadline = now + Milliseconds(1);
        submit(infeasible);
    }
    BOOST_REQUIRE(port.ended.size() == 3);
    BOOST_TEST((port.ended[0].result.end == JobEnd::Abandoned));
    BOOST_TEST((port.ended[1].result.end == JobEnd::Abandoned));
    BOOST_TEST((port.ended[2].result.end == JobEnd::NotRun));
}

BOOST_AUTO_TEST_CASE(A_completed_takeover_does_not_apply_to_later_jobs)
{
    claimTarget("t1");
    scheduler.onTakeoverComplete("lost#1", now);
    // The same dispatcher has come back since, started the job and been lost again.
    auto submission = job("j");
    submission.lostDispatcherRunsEndBy = now + Milliseconds(1100);
    submission.lostDispatcher = "lost#1";
    submit(submission);
    BOOST_TEST(port.starts.empty());
}

// Issue 38, short-cuts-of-hosts, seed 1: the takeover of one dispatcher ended the wait for runs that another one had lost.
BOOST_AUTO_TEST_CASE(A_takeover_does_not_end_the_wait_for_runs_on_lost_targets)
{
    claimTarget("t1");
    auto submission = job("j");
    submission.lostDispatcherRunsEndBy = now + Milliseconds(300);
    submission.lostDispatcher = "lost#1";
    submission.earlierRunsEndBy = now + Milliseconds(1100);
    submit(submission);
    scheduler.onTakeoverComplete("lost#1", now);
    BOOST_TEST(port.starts.empty());
    now += Milliseconds(1000);
    scheduler.tick(now);
    BOOST_TEST(port.starts.empty());
    now += Milliseconds(200);
    scheduler.tick(now);
    BOOST_TEST(port.starts.size() == 1);
}

BOOST_AUTO_TEST_CASE(A_large_task_is_not_starved_by_small_tasks)
{
    claimTarget("t1");
    submit(job("small1", 2));
    answerStart(0);
    answerStart(1);
    auto large = job("large", 1, 30000, Milliseconds(700));
    submit(large);
    scheduler.tick(now);
    // The small job would fit into the capacity that the first ended run frees, but the large job is ahead of it.
    submit(job("small2"));
    now += Milliseconds(100);
    answerRenewal("t1", {{port.starts[1].request.name, 90}}, {{1, port.starts[0].request.name, RunEnd::Done}});
    BOOST_TEST(port.starts.size() == 2);
    answerRenewal("t1", {}, {{2, port.starts[1].request.name, RunEnd::Done}});
    BOOST_TEST(port.starts.size() == 3);
    BOOST_TEST(port.starts.at(2).request.name.task.jobId == "large");
}

BOOST_AUTO_TEST_CASE(After_the_process_was_suspended_no_waiting_job_is_started)
{
    claimTarget("t1");
    submit(job("j1", 2));
    answerStart(0);
    answerStart(1);
    submit(job("j2"));
    scheduler.onTimeGap(now);
    BOOST_TEST(port.ended.size() == 1);
    BOOST_TEST((port.ended.at(0).result.end == JobEnd::NotRun));
    answerRenewal(
        "t1", {}, {{1, port.starts[0].request.name, RunEnd::LeaseExpired}, {2, port.starts[1].request.name, RunEnd::LeaseExpired}});
    BOOST_TEST(port.starts.size() == 2);
    BOOST_TEST((port.ended.at(1).result.end == JobEnd::Abandoned));
}

BOOST_AUTO_TEST_CASE(Steps_wait_for_those_that_they_depend_on)
{
    claimTarget("t1");
    auto submission = job("j");
    auto second = submission.request.steps.front();
    second.dependsOn = {0};
    submission.request.steps.push_back(second);
    submit(submission);
    BOOST_TEST(port.starts.size() == 1);
    answerStart(0);
    endRun(0, RunEnd::Done);
    BOOST_TEST(port.starts.size() == 2);
    BOOST_TEST(port.starts.at(1).request.name.task.step == 1);
}

// Issue 35, findings of the review: a job of 2 KB with 2,500,000 tasks made the process exceed its memory before the job was refused.
BOOST_AUTO_TEST_CASE(A_job_with_more_tasks_than_memory_allows_is_refused_before_its_tasks_are_recorded)
{
    claimTarget("t1");
    auto huge = job("huge", 100'000);
    huge.request.steps.resize(25, huge.request.steps.front());
    submit(huge);
    BOOST_REQUIRE(port.ended.size() == 1);
    BOOST_TEST((port.ended.at(0).result.end == JobEnd::NotRun));
    BOOST_TEST((port.ended.at(0).result.reason == JobEndReason::NeverFits));
}

BOOST_AUTO_TEST_CASE(Jobs_are_refused_while_those_before_them_have_as_many_tasks_as_memory_allows)
{
    SchedulerLimits limits;
    limits.maxTasks = 10;
    Scheduler small(limits, port, observer);
    small.addTarget(entry("t1"), Token, now);
    small.submit(job("first", 8), now);
    small.submit(job("second", 3), now);
    BOOST_REQUIRE(port.ended.size() == 1);
    BOOST_TEST((port.ended.at(0).result.reason == JobEndReason::QueueFull));
    small.cancel("first", job("first").entryHost, now);
    small.submit(job("third", 10), now);
    BOOST_TEST(port.ended.size() == 1);
    small.submit(job("fourth", 11), now);
    BOOST_REQUIRE(port.ended.size() == 2);
    BOOST_TEST((port.ended.at(1).result.reason == JobEndReason::NeverFits));
}

// Clients may send one id to several queues without end.
BOOST_AUTO_TEST_CASE(Jobs_that_wait_for_another_with_their_id_count_as_those_in_the_queue)
{
    SchedulerLimits limits;
    limits.maxTasks = 10;
    Scheduler small(limits, port, observer);
    small.addTarget(entry("t1"), Token, now);
    small.submit(job("j", 8), now);
    const auto submitOf = [&](const std::string &route, std::uint32_t tasks) {
        auto submission = job("j", tasks);
        submission.route = route;
        small.submit(submission, now);
        return port.ended.size();
    };
    BOOST_TEST(submitOf("b", 3) == 1U);
    BOOST_TEST((port.ended.at(0).result.reason == JobEndReason::QueueFull));
    BOOST_TEST(submitOf("c", 2) == 1U);
    BOOST_TEST(submitOf("d", 1) == 2U);
    BOOST_TEST(small.jobCount() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()
