#include "fleet/issuedgrants.h"
#include "lostdispatcherfixture.h"
#include "schedulerfixture.h"
#include "scheduling/heldgrants.h"

#include <boost/test/unit_test.hpp>

using namespace Anvilcart;
using namespace Anvilcart::Fleet;

namespace
{
constexpr TimePoint Start {std::chrono::hours(1)};
constexpr std::uint64_t EntryIncarnation = 5;

JobGrant grantUntil(TimePoint until, std::uint64_t epoch = 1, std::uint64_t confirmedClaims = 100)
{
    return {epoch, until, confirmedClaims, 1};
}

/// A scheduler with a target, and a job of an entry host whose grant ends after GrantLength.
struct GrantedJobFixture : SchedulerFixture
{
    GrantedJobFixture()
    {
        claimTarget("t1");
        scheduler.onGrant("entry", EntryIncarnation, grantUntil(now + GrantLength), now);
    }

    JobSubmission grantedJob(const std::string &id, std::uint64_t epoch = 1) const
    {
        auto submission = job(id);
        submission.entryHost = "entry";
        submission.grantEpoch = epoch;
        return submission;
    }
};
} // namespace

BOOST_AUTO_TEST_SUITE(GrantsSuite, *boost::unit_test::label("fleet"))

BOOST_AUTO_TEST_CASE(A_held_grant_ends_at_its_time_unless_it_is_renewed)
{
    HeldGrants grants;
    BOOST_TEST(!grants.isValid("entry", 1, Start));
    BOOST_TEST(grants.isValid("entry", 0, Start));
    grants.onGrant("entry", EntryIncarnation, grantUntil(Start + GrantLength), Start);
    BOOST_TEST(grants.isValid("entry", 1, Start + GrantLength - Milliseconds(1)));
    BOOST_TEST(!grants.isValid("entry", 1, Start + GrantLength));
    BOOST_TEST(grants.takeEnded(Start + GrantLength).size() == 1U);
    BOOST_TEST(grants.takeEnded(Start + GrantLength).empty());
    grants.onGrant("entry", EntryIncarnation, grantUntil(Start + 2 * GrantLength), Start + GrantLength);
    BOOST_TEST(grants.isValid("entry", 1, Start + GrantLength));
    BOOST_TEST(grants.takeExpired(Start + 2 * GrantLength).empty());
    BOOST_TEST(grants.takeExpired(Start + 3 * GrantLength).size() == 1U);
}

BOOST_AUTO_TEST_CASE(A_grant_of_a_lower_epoch_or_an_earlier_time_changes_nothing)
{
    HeldGrants grants;
    grants.onGrant("entry", EntryIncarnation, grantUntil(Start + GrantLength, 2), Start);
    BOOST_TEST((grants.onGrant("entry", EntryIncarnation, grantUntil(Start + 2 * GrantLength, 1), Start) == HeldGrants::Change::Outdated));
    BOOST_TEST(!grants.isValid("entry", 1, Start));
    grants.onGrant("entry", EntryIncarnation, grantUntil(Start, 2, 7), Start);
    BOOST_TEST(grants.isValid("entry", 2, Start));
    BOOST_TEST(grants.confirmedClaims("entry") == 100);
}

// The steady clock may not count a suspension, so that a grant from before it would seem to last.
BOOST_AUTO_TEST_CASE(After_a_suspension_only_grants_that_confirm_a_later_report_count)
{
    HeldGrants grants;
    grants.onGrant("entry", EntryIncarnation, grantUntil(Start + GrantLength, 1, 8), Start);
    grants.endAll(8, Start);
    BOOST_TEST(!grants.isValid("entry", 1, Start));
    grants.onGrant("entry", EntryIncarnation, grantUntil(Start + GrantLength, 1, 8), Start);
    BOOST_TEST(!grants.isValid("entry", 1, Start));
    grants.onGrant("entry", EntryIncarnation, grantUntil(Start + GrantLength, 1, 9), Start);
    BOOST_TEST(grants.isValid("entry", 1, Start));
}

BOOST_AUTO_TEST_CASE(An_issued_grant_ends_later_here_than_at_the_dispatcher_however_long_frames_take)
{
    // The dispatcher's clock is 50 minutes behind, and its report has travelled for 300 ms.
    const auto sentAt = Start - std::chrono::minutes(50);
    const auto arrivedAt = Start + Milliseconds(300);
    IssuedGrants grants;
    BOOST_TEST(grants.onReport("h2", 2, 4, sentAt.time_since_epoch(), arrivedAt));
    const auto grant = grants.renew("h2", 2, GrantLength);
    BOOST_REQUIRE(grant.has_value());
    BOOST_TEST((grant->until == sentAt + GrantLength));
    BOOST_TEST(grant->confirmedClaims == 4);
    BOOST_TEST((grants.endOf("h2", 2, grant->epoch) >= arrivedAt + GrantLength));
    BOOST_TEST(!grants.onReport("h2", 2, 3, (sentAt - Milliseconds(1)).time_since_epoch(), arrivedAt));
}

BOOST_AUTO_TEST_CASE(A_revoked_epoch_keeps_its_end_while_the_next_one_is_renewed)
{
    IssuedGrants grants;
    grants.onReport("h2", 2, 0, Duration(0), Start);
    grants.renew("h2", 2, GrantLength);
    const auto end = grants.endOf("h2", 2, 1);
    grants.revoke("h2", 2);
    grants.onReport("h2", 2, 0, Seconds(1), Start + Seconds(1));
    BOOST_TEST(grants.renew("h2", 2, GrantLength)->epoch == 2);
    BOOST_TEST((grants.endOf("h2", 2, 1) == end));
    BOOST_TEST((grants.endOf("h2", 2, 2) > end));
    grants.onEnded("h2", 2, Start + Seconds(1));
    BOOST_TEST((grants.endOf("h2", 2, 2) == Start + Seconds(1)));
}

// A dispatcher that is out of sight for longer than its record is kept still holds a grant of the higher epoch.
BOOST_AUTO_TEST_CASE(A_dispatcher_that_is_seen_again_after_its_record_was_removed_accepts_grants)
{
    IssuedGrants issued;
    HeldGrants held;
    issued.onReport("h2", 2, 0, Duration(0), Start);
    issued.revoke("h2", 2);
    held.onGrant("entry", EntryIncarnation, *issued.renew("h2", 2, GrantLength), Start);
    const auto seenAgainAt = Start + std::chrono::minutes(1);
    issued.removeOld(seenAgainAt);
    issued.onReport("h2", 2, 0, Seconds(60), seenAgainAt);
    const auto grant = issued.renew("h2", 2, GrantLength);
    BOOST_TEST((held.onGrant("entry", EntryIncarnation, *grant, seenAgainAt) != HeldGrants::Change::Outdated));
}

// Issue 35, review/1: a dispatcher that was only cut off started jobs that had been handed on.
BOOST_FIXTURE_TEST_CASE(A_dispatcher_starts_no_job_after_its_grant_has_ended, GrantedJobFixture)
{
    scheduler.onGrant("entry", EntryIncarnation, grantUntil(now + Milliseconds(10)), now);
    auto blocked = grantedJob("blocked");
    blocked.earlierRunsEndBy = now + GrantLength;
    submit(blocked);
    advance(GrantLength + Milliseconds(300));
    BOOST_TEST(port.starts.empty());
    BOOST_REQUIRE(port.ended.size() == 1);
    BOOST_TEST((port.ended.at(0).result.end == JobEnd::NotRun));
    BOOST_TEST((port.ended.at(0).result.reason == JobEndReason::GrantEnded));
}

BOOST_FIXTURE_TEST_CASE(A_run_whose_grant_has_ended_is_stopped_and_its_target_extends_no_lease_and_starts_nothing, GrantedJobFixture)
{
    submit(grantedJob("j"));
    answerStart(0);
    advance(GrantLength + Milliseconds(50));
    answerRenewal("t1", {{port.starts.at(0).request.name, 40}});
    BOOST_TEST(lastRenewal("t1").leaseUntilMs == 0);
    submit(job("of another host"));
    BOOST_TEST(port.starts.size() == 1);
    BOOST_TEST(port.stops.empty());
    advance(Milliseconds(250));
    BOOST_REQUIRE(port.stops.size() == 1);
    answerRenewal("t1", {}, {{1, port.starts.at(0).request.name, RunEnd::Stopped}});
    BOOST_REQUIRE(port.ended.size() == 1);
    BOOST_TEST((port.ended.at(0).result.end == JobEnd::Abandoned));
    BOOST_TEST(port.starts.size() == 2);
}

BOOST_FIXTURE_TEST_CASE(A_grant_that_is_renewed_a_little_late_costs_no_work, GrantedJobFixture)
{
    submit(grantedJob("j"));
    answerStart(0);
    advance(GrantLength + Milliseconds(100));
    scheduler.onGrant("entry", EntryIncarnation, grantUntil(now + GrantLength), now);
    advance(Milliseconds(400));
    BOOST_TEST(port.stops.empty());
    BOOST_TEST(port.ended.empty());
}

BOOST_FIXTURE_TEST_CASE(A_higher_epoch_takes_back_the_jobs_of_lower_ones, GrantedJobFixture)
{
    submit(grantedJob("j"));
    answerStart(0);
    scheduler.onGrant("entry", EntryIncarnation, grantUntil(now + GrantLength, 2), now);
    BOOST_REQUIRE(port.stops.size() == 1);
    // Sent again under the new epoch, it starts when the run of the old one has ended.
    submit(grantedJob("j", 2));
    BOOST_TEST(port.starts.size() == 1);
    answerRenewal("t1", {}, {{1, port.starts.at(0).request.name, RunEnd::Stopped}});
    BOOST_REQUIRE(port.ended.size() == 1);
    BOOST_TEST(port.ended.at(0).job.grantEpoch == 1);
    BOOST_TEST(port.starts.size() == 2);
}

// A dispatcher that lost its targets to a successor may claim them again.
BOOST_FIXTURE_TEST_CASE(A_job_starts_only_on_targets_whose_claim_its_entry_host_has_confirmed, GrantedJobFixture)
{
    scheduler.onGrant("entry", EntryIncarnation, grantUntil(now + GrantLength, 2, 0), now);
    submit(grantedJob("j", 2));
    BOOST_TEST(port.starts.empty());
    scheduler.onGrant("entry", EntryIncarnation, grantUntil(now + GrantLength, 2, scheduler.claimCount()), now);
    advance(Milliseconds(25));
    BOOST_TEST(port.starts.size() == 1);
}

// Issue 35, review/1, seed 1: a dispatcher that claimed a target again kept a run alive whose end its successor had waited for.
BOOST_FIXTURE_TEST_CASE(A_lease_is_extended_only_under_a_claim_that_the_entry_host_has_confirmed, GrantedJobFixture)
{
    scheduler.onGrant("entry", EntryIncarnation, grantUntil(now + GrantLength, 2, scheduler.claimCount()), now);
    const RunName found {{"j", 0, 0, 0}, 1};
    auto submission = withRun(grantedJob("j", 2), "t2", found);
    submission.lostDispatcher = "lost#1";
    submission.lostDispatcherRunsEndBy = now + Seconds(5);
    submit(submission);
    scheduler.addTarget(entry("t2"), Token, now);
    answerRenewal("t2", {{found, 40}});
    scheduler.onTakeoverComplete("lost#1", now);
    now += Milliseconds(20);
    answerRenewal("t2", {{found, 50}});
    BOOST_TEST(lastRenewal("t2").leaseUntilMs == 0);
    scheduler.onGrant("entry", EntryIncarnation, grantUntil(now + GrantLength, 2, scheduler.claimCount()), now);
    now += Milliseconds(20);
    answerRenewal("t2", {{found, 60}});
    BOOST_TEST(lastRenewal("t2").leaseUntilMs > 0);
}

BOOST_FIXTURE_TEST_CASE(A_returned_job_whose_target_was_taken_over_is_not_said_to_have_no_runs, GrantedJobFixture)
{
    submit(grantedJob("j"));
    answerStart(0);
    scheduler.onGrant("entry", EntryIncarnation, grantUntil(now + GrantLength, 2), now);
    scheduler.loseTarget("t1", now);
    BOOST_REQUIRE(port.ended.size() == 1);
    BOOST_TEST((port.ended.at(0).result.reason == JobEndReason::TargetsLost));
}

// Found by the model: a successor that had listed the lost dispatcher's remaining targets started the job while it ran on a lost one.
BOOST_FIXTURE_TEST_CASE(A_target_that_is_taken_away_with_a_run_stays_reported_while_the_lease_of_the_run_may_last, GrantedJobFixture)
{
    claimTarget("t2");
    const auto both = scheduler.ownedTargetsDigest();
    submit(grantedJob("j"));
    answerStart(0);
    const auto lost = port.starts.at(0).target;
    const auto leaseEnd = now + Milliseconds(lastRenewal(lost).leaseUntilMs - clockMs());
    BOOST_REQUIRE((leaseEnd > now + Milliseconds(900)));
    scheduler.loseTarget(lost, now);
    BOOST_TEST(scheduler.ownedTargetsDigest() == both);
    advance(leaseEnd - now);
    BOOST_TEST(scheduler.ownedTargetsDigest() == both);
    // The margin for the drift of the target's clock and for delayed timers.
    advance(Milliseconds(100));
    BOOST_TEST(scheduler.ownedTargetsDigest() == both - Scheduler::digestOf(lost));
}

BOOST_FIXTURE_TEST_CASE(A_target_that_is_taken_away_without_runs_or_claimed_again_is_reported_once_or_not, GrantedJobFixture)
{
    submit(grantedJob("j"));
    answerStart(0);
    scheduler.loseTarget("t1", now);
    scheduler.addTarget(entry("t1"), Token + 1, now);
    BOOST_TEST(scheduler.ownedTargetsDigest() == Scheduler::digestOf("t1"));
    claimTarget("t2");
    scheduler.loseTarget("t2", now);
    BOOST_TEST(scheduler.ownedTargetsDigest() == Scheduler::digestOf("t1"));
}

BOOST_FIXTURE_TEST_CASE(A_report_names_a_target_that_was_taken_away_while_it_ran_a_job, HostNodeFixture)
{
    listTargets({"t1", "t2"});
    advance(Seconds(1));
    answerRenewal("t1", {});
    answerRenewal("t2", {});
    node.onFrame(report("h3", 3, false), now);
    node.submit(job("j"), now);
    BOOST_REQUIRE(port.starts.size() == 1);
    const auto target = port.starts.front().first;
    TargetReply fenced;
    fenced.result = RequestResult::Fenced;
    fenced.fencingToken = port.starts.front().second.fencingToken;
    port.frames.clear();
    node.onStartReply(target, port.starts.front().second.name, fenced, now);
    advance(Milliseconds(300));
    std::size_t reportCount = 0;
    for (const auto &[endpoint, frame] : port.frames) {
        if (frame.report) {
            ++reportCount;
            BOOST_TEST(frame.report->targetsDigest == Scheduler::digestOf("t1") + Scheduler::digestOf("t2"));
        }
    }
    BOOST_TEST(reportCount > 0);
}

// Issue 35, review/2: a host that was silent for 186 ms was seen again at once, when its jobs had been handed on.
BOOST_FIXTURE_TEST_CASE(A_job_stays_with_its_dispatcher_that_is_seen_again_before_another_can_have_it, LostDispatcherFixture)
{
    advance(Milliseconds(750));
    sendReport();
    advance(Milliseconds(100));
    BOOST_TEST(submissionsToDispatcher().size() == 1U);
    FleetFrame result;
    result.host = "h2";
    result.incarnation = 2;
    result.ended.push_back({"j", {JobEnd::Completed, JobEndReason::AllTasksDone, Duration(0), {}}, 1});
    node.onFrame(result, now);
    BOOST_TEST((port.answers.at("j").answer == CallerAnswer::Completed));
}

// Issue 35, review/1: the successor had listed as many targets as the lost dispatcher, but not the one that ran the job.
BOOST_FIXTURE_TEST_CASE(A_successor_starts_no_job_while_the_lost_dispatcher_may_use_a_target_that_it_has_not_listed, LostDispatcherFixture)
{
    targetsDigest = Scheduler::digestOf("t2");
    sendReport();
    takeOver();
    advance(Milliseconds(900));
    answerRenewal("t1", {});
    BOOST_TEST(port.starts.empty());
    advance(Milliseconds(500));
    BOOST_TEST(port.starts.size() == 1);
    BOOST_TEST((now - lastReportAt > GrantLength + Seconds(1)));
}

BOOST_FIXTURE_TEST_CASE(A_successor_that_has_listed_every_target_of_the_lost_dispatcher_starts_its_jobs_at_once, LostDispatcherFixture)
{
    takeOver();
    advance(Milliseconds(100));
    BOOST_TEST(port.starts.size() == 1);
}

BOOST_FIXTURE_TEST_CASE(A_dispatcher_that_is_seen_again_learns_that_its_jobs_were_taken_back, LostDispatcherFixture)
{
    takeOver();
    advance(Milliseconds(100));
    port.frames.clear();
    sendReport();
    advance(Milliseconds(250));
    BOOST_REQUIRE(!port.frames.empty());
    BOOST_TEST(port.frames.back().second.grant->epoch == 2);
}

BOOST_FIXTURE_TEST_CASE(A_job_waits_no_longer_once_the_lost_dispatcher_says_that_it_runs_nothing_of_it, LostDispatcherFixture)
{
    targetsDigest = 0;
    sendReport();
    takeOver();
    advance(Milliseconds(100));
    BOOST_TEST(port.starts.empty());
    FleetFrame result;
    result.host = "h2";
    result.incarnation = 2;
    result.ended.push_back({"j", {JobEnd::Abandoned, JobEndReason::GrantEnded, Seconds(1), {}}, 1});
    node.onFrame(result, now);
    BOOST_TEST(port.starts.size() == 1);
}

BOOST_FIXTURE_TEST_CASE(Jobs_that_come_with_a_grant_for_an_earlier_incarnation_of_the_host_are_refused, HostNodeFixture)
{
    claimTarget("t1");
    node.onFrame(report("h2", 2, false), now);
    for (const std::uint64_t incarnation : {1, 77}) {
        FleetFrame frame;
        frame.host = "h2";
        frame.incarnation = 2;
        frame.submissions.push_back(job("j" + std::to_string(incarnation)));
        frame.submissions.back().entryHost = "h2";
        frame.grant = JobGrant {1, now + GrantLength, 100, incarnation};
        node.onFrame(frame, now);
    }
    BOOST_REQUIRE(port.starts.size() == 1);
    BOOST_TEST(port.starts.at(0).second.name.task.jobId == "j1");
}

// Issue 38: a lost cancellation left a job with a dispatcher, while the caller sent it again over another entry host.
BOOST_FIXTURE_TEST_CASE(A_cancellation_is_repeated_until_the_dispatcher_has_confirmed_it, LostDispatcherFixture)
{
    const auto cancellationsSince = [this](std::size_t first) {
        return std::count_if(port.frames.begin() + static_cast<std::ptrdiff_t>(first), port.frames.end(), [](const auto &sent) {
            return sent.second.cancellations.size() == 1 && sent.second.cancellations.front().jobId == "j";
        });
    };
    node.cancel("j", now);
    BOOST_TEST(cancellationsSince(0) == 1);
    const auto repeatedFrom = port.frames.size();
    advance(Milliseconds(300));
    BOOST_TEST(cancellationsSince(repeatedFrom) >= 1);
    FleetFrame confirmation;
    confirmation.host = "h2";
    confirmation.incarnation = 2;
    confirmation.confirmedCancellations.push_back({"j"});
    node.onFrame(confirmation, now);
    const auto confirmedFrom = port.frames.size();
    advance(Milliseconds(300));
    BOOST_TEST(cancellationsSince(confirmedFrom) == 0);
}

BOOST_FIXTURE_TEST_CASE(A_dispatcher_confirms_a_cancellation_only_when_the_last_run_has_ended, HostNodeFixture)
{
    claimTarget("t1");
    node.onFrame(report("h2", 2, false), now);
    FleetFrame frame;
    frame.host = "h2";
    frame.incarnation = 2;
    frame.submissions.push_back(job("j"));
    frame.submissions.back().entryHost = "h2";
    node.onFrame(frame, now);
    BOOST_REQUIRE(port.starts.size() == 1);
    const auto confirmations = [this] {
        return std::count_if(port.frames.begin(), port.frames.end(), [](const auto &sent) {
            return !sent.second.confirmedCancellations.empty();
        });
    };
    FleetFrame cancellation;
    cancellation.host = "h2";
    cancellation.incarnation = 2;
    cancellation.cancellations.push_back({"j"});
    node.onFrame(cancellation, now);
    BOOST_TEST(port.stops.size() == 1);
    BOOST_TEST(confirmations() == 0);
    const auto run = port.starts.front().second.name;
    advance(Milliseconds(25));
    answerRenewal("t1", {}, {{1, run, RunEnd::Stopped}});
    node.onFrame(cancellation, now);
    BOOST_TEST(confirmations() == 1);
}

// The first dispatcher may still run the job, so that it is the only one that can have it at once.
BOOST_FIXTURE_TEST_CASE(A_job_that_its_caller_sends_again_goes_to_the_dispatcher_that_owes_its_end, LostDispatcherFixture)
{
    node.onFrame(report("h3", 3, true), now);
    node.cancel("j", now);
    node.submit(job("j"), now);
    BOOST_TEST(submissionsToDispatcher().size() == 2);
    const auto last = std::find_if(port.frames.rbegin(), port.frames.rend(), [](const auto &sent) {
        return !sent.second.submissions.empty();
    });
    BOOST_TEST(last->first.address == "10.0.0.2");
}

BOOST_FIXTURE_TEST_CASE(A_job_that_its_caller_sends_again_waits_for_the_end_of_a_dispatcher_that_is_out_of_sight, LostDispatcherFixture)
{
    node.cancel("j", now);
    const auto cancelledAt = now;
    while (now - cancelledAt < Milliseconds(800)) {
        node.onFrame(report("h3", 3, true), now);
        advance(Milliseconds(100));
    }
    node.submit(job("j"), now);
    advance(Milliseconds(700));
    const auto last = std::find_if(port.frames.rbegin(), port.frames.rend(), [](const auto &sent) {
        return !sent.second.submissions.empty();
    });
    BOOST_TEST(last->first.address == "10.0.0.3");
    const auto &submission = last->second.submissions.front();
    BOOST_TEST((submission.mayStartAt() > cancelledAt + GrantLength + Seconds(1)));
}

// A longer one outlasts the time after which callers send their jobs again.
BOOST_FIXTURE_TEST_CASE(A_host_that_has_just_claimed_a_pool_gets_no_longer_grant_than_other_dispatchers, HostNodeFixture)
{
    auto frame = report("h2", 2, true);
    frame.sentAt = now - Begin;
    frame.report->loads.clear();
    node.onFrame(frame, now);
    advance(Milliseconds(25));
    const auto &grant = port.frames.back().second.grant;
    BOOST_REQUIRE(grant.has_value());
    BOOST_TEST((grant->until == TimePoint(frame.sentAt + GrantLength)));
}

// Its grants, which follow from the period of its reports, outlasted the time after which callers send their jobs again.
BOOST_FIXTURE_TEST_CASE(A_host_that_yields_its_pools_reports_as_often_as_before, HostNodeFixture)
{
    claimTarget("t1");
    node.onFrame(report("h2", 2, false), now);
    node.submit(job("j"), now);
    BOOST_REQUIRE(port.starts.size() == 1);
    node.beginLeaving(now);
    advance(Milliseconds(100));
    const auto &last = port.frames.back().second.report;
    BOOST_REQUIRE(last.has_value());
    BOOST_REQUIRE(last->claims.size() == 1);
    BOOST_TEST(last->claims.front().yielding);
    BOOST_TEST((last->period == Milliseconds(200)));
}

// The first dispatcher may get the job again from another one that refers to it.
BOOST_FIXTURE_TEST_CASE(A_job_that_comes_back_to_a_dispatcher_is_not_cancelled_there_any_more, LostDispatcherFixture)
{
    node.cancel("j", now);
    const auto cancelledAt = now;
    while (now - cancelledAt < Milliseconds(800)) {
        node.onFrame(report("h3", 3, true), now);
        advance(Milliseconds(100));
    }
    node.submit(job("j"), now);
    sendReport();
    FleetFrame refusal;
    refusal.host = "h3";
    refusal.incarnation = 3;
    refusal.ended.push_back({"j", {JobEnd::NotRun, JobEndReason::BetterElsewhere, Seconds(1), "h2"}, 1});
    node.onFrame(refusal, now);
    BOOST_REQUIRE(port.frames.back().second.submissions.size() == 1);
    BOOST_REQUIRE(port.frames.back().first.address == "10.0.0.2");
    port.frames.clear();
    advance(Milliseconds(300));
    BOOST_TEST(std::none_of(port.frames.begin(), port.frames.end(), [](const auto &sent) {
        return !sent.second.cancellations.empty();
    }));
}

// A stop takes a round trip, and the run goes on until then.
BOOST_FIXTURE_TEST_CASE(A_job_that_its_caller_sends_again_stays_with_its_entry_host_while_that_stops_its_runs, HostNodeFixture)
{
    claimTarget("t1");
    node.submit(job("j"), now);
    node.submit(job("of another caller"), now);
    BOOST_REQUIRE(port.starts.size() == 2);
    auto other = report("h3", 3, true);
    other.report->claims.front().pool = {"b", 0};
    node.onFrame(other, now);
    node.cancel("j", now);
    BOOST_REQUIRE(port.stops.size() == 1);
    node.submit(job("j"), now);
    BOOST_TEST(std::none_of(port.frames.begin(), port.frames.end(), [](const auto &sent) {
        return !sent.second.submissions.empty();
    }));
    BOOST_TEST(port.starts.size() == 2);
    advance(Milliseconds(25));
    answerRenewal("t1", {{port.starts.at(1).second.name, 25}}, {{1, port.starts.at(0).second.name, RunEnd::Stopped}});
    BOOST_TEST(port.starts.size() == 3);
}

// Frames of a process that was killed may still be unread when its successor has connected.
BOOST_FIXTURE_TEST_CASE(A_report_of_a_process_that_has_ended_does_not_take_jobs_from_the_next_one, LostDispatcherFixture)
{
    auto restarted = report("h2", 2, true);
    restarted.incarnation = 20;
    restarted.report->incarnation = 20;
    restarted.sentAt = now - Begin;
    node.onFrame(restarted, now);
    advance(Milliseconds(50));
    const auto submissionsBefore = submissionsToDispatcher();
    BOOST_REQUIRE(submissionsBefore.size() == 2);
    auto late = report("h2", 2, true);
    late.sentAt = now - Begin;
    node.onFrame(late, now);
    advance(Milliseconds(50));
    BOOST_TEST(submissionsToDispatcher().size() == 2);
    FleetFrame result;
    result.host = "h2";
    result.incarnation = 20;
    result.ended.push_back({"j", {JobEnd::Failed, JobEndReason::AttemptsExhausted, Duration(0), {}}, submissionsBefore.back().second});
    node.onFrame(result, now);
    BOOST_TEST((port.answers.at("j").answer == CallerAnswer::Failed));
}

// The result of the first submission may still be on its way when the caller has sent the job again.
BOOST_FIXTURE_TEST_CASE(A_result_of_an_earlier_submission_does_not_hand_a_job_on_that_its_dispatcher_has_again, LostDispatcherFixture)
{
    node.onFrame(report("h3", 3, true), now);
    const auto firstNumber = lastSubmission().number;
    node.cancel("j", now);
    node.submit(job("j"), now);
    BOOST_REQUIRE(submissionsToDispatcher().size() == 2);
    BOOST_REQUIRE(lastSubmission().number != firstNumber);
    FleetFrame result;
    result.host = "h2";
    result.incarnation = 2;
    result.ended.push_back({"j", {JobEnd::Abandoned, JobEndReason::TargetsLost, Seconds(1), {}}, 1, firstNumber});
    port.frames.clear();
    node.onFrame(result, now);
    advance(Milliseconds(100));
    BOOST_TEST(submissionsToDispatcher().empty());
}

// A submission that was under way when the connection broke never arrives.
BOOST_FIXTURE_TEST_CASE(A_job_is_submitted_again_when_the_connection_broke_under_its_submission, LostDispatcherFixture)
{
    node.onLinkClosed("h2", 2, now);
    for (int reports = 0; reports < 10; ++reports) {
        advance(Milliseconds(100));
        sendReport();
    }
    BOOST_TEST(submissionsToDispatcher().size() >= 2);
}

BOOST_AUTO_TEST_SUITE_END()
