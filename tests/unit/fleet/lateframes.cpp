#include "lostdispatcherfixture.h"
#include "schedulerfixture.h"

#include <boost/test/unit_test.hpp>

using namespace Anvilcart;
using namespace Anvilcart::Fleet;

namespace
{
/// Part of the wait for the runs of a lost dispatcher, after its grant and the longest lease.
constexpr Milliseconds LeaseExpiryMargin {120};

/// A dispatcher that owns a target. h2 and h3 are entry hosts, whose incarnations are 2 and 3.
struct TwoEntryHostsFixture : HostNodeFixture
{
    TwoEntryHostsFixture()
    {
        claimTarget("t1");
        reportFrom("h2", 2);
        reportFrom("h3", 3);
        BOOST_REQUIRE(port.starts.empty());
    }

    FleetFrame frameFrom(const std::string &host, std::uint64_t incarnation) const
    {
        FleetFrame frame;
        frame.host = host;
        frame.incarnation = incarnation;
        frame.sentAt = now - Begin;
        return frame;
    }

    void reportFrom(const std::string &host, std::uint16_t lastByte)
    {
        auto frame = report(host, lastByte, false);
        frame.sentAt = now - Begin;
        node.onFrame(frame, now);
    }

    void submitFrom(const std::string &host, std::uint64_t incarnation, std::uint64_t number, Duration delay = Duration(0))
    {
        auto frame = frameFrom(host, incarnation);
        frame.sentAt -= delay;
        frame.submissions.push_back(job("j"));
        frame.submissions.back().entryHost = host;
        frame.submissions.back().number = number;
        node.onFrame(frame, now);
    }

    void cancelFrom(const std::string &host, std::uint64_t incarnation, std::uint64_t number)
    {
        auto frame = frameFrom(host, incarnation);
        frame.cancellations.push_back({"j", number});
        node.onFrame(frame, now);
    }

    /// Ends the run that was started last.
    void endRun(RunEnd end)
    {
        advance(Milliseconds(25));
        answerRenewal("t1", {}, {{port.starts.size(), port.starts.back().second.name, end}});
    }

    /// The results that were sent to the host with this address.
    std::vector<JobEndNotice> resultsTo(const std::string &address) const
    {
        std::vector<JobEndNotice> found;
        for (const auto &[endpoint, frame] : port.frames) {
            if (endpoint.address == address) {
                found.insert(found.end(), frame.ended.begin(), frame.ended.end());
            }
        }
        return found;
    }

    bool hasConfirmedCancellation() const
    {
        return std::any_of(port.frames.begin(), port.frames.end(), [](const auto &sent) {
            return !sent.second.confirmedCancellations.empty();
        });
    }
};

/// A target runs the job "j" of the entry host "entry"; another one is free.
struct RunningJobFixture : SchedulerFixture
{
    RunningJobFixture()
    {
        claimTarget("t1");
        claimTarget("t2");
        submit(numberedJob(1));
        answerStart(0);
    }

    JobSubmission numberedJob(std::uint64_t number) const
    {
        auto submission = job("j");
        submission.number = number;
        submission.callerDeadline = now + Seconds(9);
        return submission;
    }
};
} // namespace

BOOST_AUTO_TEST_SUITE(LateFramesSuite, *boost::unit_test::label("fleet"))

// The entry host ignores the result of an earlier submission unless the job has completed.
BOOST_FIXTURE_TEST_CASE(A_late_copy_of_an_earlier_submission_does_not_take_the_result_of_the_newer_one, TwoEntryHostsFixture)
{
    submitFrom("h2", 2, 7);
    submitFrom("h2", 2, 8);
    submitFrom("h2", 2, 7);
    cancelFrom("h2", 2, 7);
    BOOST_TEST(port.stops.empty());
    endRun(RunEnd::Done);
    BOOST_REQUIRE(resultsTo("10.0.0.2").size() == 1);
    BOOST_TEST(resultsTo("10.0.0.2").front().submissionNumber == 8);
}

BOOST_FIXTURE_TEST_CASE(A_late_copy_of_a_cancelled_submission_does_not_replace_the_one_that_waits, TwoEntryHostsFixture)
{
    submitFrom("h2", 2, 5);
    cancelFrom("h2", 2, 5);
    submitFrom("h2", 2, 6);
    cancelFrom("h2", 2, 6);
    submitFrom("h2", 2, 7);
    submitFrom("h2", 2, 6);
    endRun(RunEnd::Stopped);
    BOOST_REQUIRE(port.starts.size() == 2);
    endRun(RunEnd::Done);
    BOOST_REQUIRE(resultsTo("10.0.0.2").size() == 1);
    BOOST_TEST(resultsTo("10.0.0.2").front().submissionNumber == 7);
}

BOOST_FIXTURE_TEST_CASE(A_late_copy_of_a_submission_that_was_cancelled_while_it_waited_does_not_run, TwoEntryHostsFixture)
{
    submitFrom("h2", 2, 5);
    cancelFrom("h2", 2, 5);
    submitFrom("h2", 2, 6);
    cancelFrom("h2", 2, 6);
    submitFrom("h2", 2, 6);
    endRun(RunEnd::Stopped);
    BOOST_TEST(port.starts.size() == 1);
}

BOOST_FIXTURE_TEST_CASE(A_late_copy_of_a_cancelled_submission_does_not_run_after_a_newer_one_has_ended, TwoEntryHostsFixture)
{
    cancelFrom("h2", 2, 7);
    submitFrom("h2", 2, 8);
    endRun(RunEnd::Done);
    BOOST_REQUIRE(port.starts.size() == 1);
    submitFrom("h2", 2, 7);
    BOOST_TEST(port.starts.size() == 1);
}

BOOST_FIXTURE_TEST_CASE(An_entry_host_is_told_that_another_one_has_submitted_its_job, TwoEntryHostsFixture)
{
    submitFrom("h2", 2, 7);
    submitFrom("h3", 3, 4);
    BOOST_REQUIRE(resultsTo("10.0.0.2").size() == 1);
    BOOST_TEST((resultsTo("10.0.0.2").front().result.end == JobEnd::Abandoned));
    BOOST_TEST(port.stops.empty());
    BOOST_TEST(port.starts.size() == 1);
}

// The caller has sent the job over another entry host meanwhile.
BOOST_FIXTURE_TEST_CASE(A_repeated_submission_does_not_take_a_job_from_the_entry_host_that_submitted_it_since, TwoEntryHostsFixture)
{
    submitFrom("h2", 2, 7);
    submitFrom("h3", 3, 4);
    submitFrom("h2", 2, 7);
    endRun(RunEnd::Done);
    BOOST_REQUIRE(resultsTo("10.0.0.3").size() == 1);
    BOOST_TEST(resultsTo("10.0.0.3").front().submissionNumber == 4);
    BOOST_TEST((resultsTo("10.0.0.3").front().result.end == JobEnd::Completed));
}

BOOST_FIXTURE_TEST_CASE(A_submission_that_its_cancellation_has_overtaken_does_not_take_a_job_from_another_entry_host, TwoEntryHostsFixture)
{
    submitFrom("h3", 3, 4);
    cancelFrom("h2", 2, 7);
    submitFrom("h2", 2, 7);
    endRun(RunEnd::Done);
    BOOST_REQUIRE(resultsTo("10.0.0.3").size() == 1);
    BOOST_TEST(resultsTo("10.0.0.3").front().submissionNumber == 4);
    BOOST_TEST((resultsTo("10.0.0.3").front().result.end == JobEnd::Completed));
}

BOOST_FIXTURE_TEST_CASE(A_late_copy_of_a_submission_whose_run_goes_on_for_another_entry_host_is_not_refused_as_not_run,
                        TwoEntryHostsFixture)
{
    submitFrom("h2", 2, 7);
    BOOST_REQUIRE(port.starts.size() == 1);
    submitFrom("h3", 3, 4);
    submitFrom("h2", 2, 7, Seconds(1));
    for (const auto &notice : resultsTo("10.0.0.2")) {
        BOOST_TEST((notice.result.end != JobEnd::NotRun));
    }
}

// Its entry host does not know that the job has run before.
BOOST_FIXTURE_TEST_CASE(A_delayed_submission_of_a_job_that_ran_for_another_entry_host_is_not_refused_as_not_run, TwoEntryHostsFixture)
{
    submitFrom("h2", 2, 7);
    endRun(RunEnd::Done);
    submitFrom("h3", 3, 4, Seconds(1));
    BOOST_REQUIRE(resultsTo("10.0.0.3").size() == 1);
    BOOST_TEST((resultsTo("10.0.0.3").front().result.end != JobEnd::NotRun));
}

// Incarnations are random, so that the numbers of the next process may be lower.
BOOST_FIXTURE_TEST_CASE(A_cancellation_is_not_confirmed_while_a_run_of_an_earlier_process_is_stopped, TwoEntryHostsFixture)
{
    submitFrom("h2", 2, 7);
    BOOST_REQUIRE(port.starts.size() == 1);
    auto restarted = report("h2", 2, false);
    restarted.incarnation = 20;
    restarted.report->incarnation = 20;
    restarted.sentAt = now - Begin;
    node.onFrame(restarted, now);
    BOOST_REQUIRE(port.stops.size() == 1);
    submitFrom("h2", 20, submissionNumber(20, 3));
    cancelFrom("h2", 20, submissionNumber(20, 3));
    BOOST_TEST(!hasConfirmedCancellation());
}

BOOST_FIXTURE_TEST_CASE(A_cancellation_is_not_confirmed_while_a_run_for_another_entry_host_is_stopped, TwoEntryHostsFixture)
{
    submitFrom("h2", 2, 7);
    cancelFrom("h2", 2, 7);
    BOOST_REQUIRE(port.stops.size() == 1);
    submitFrom("h3", 3, 4);
    cancelFrom("h3", 3, 4);
    BOOST_TEST(!hasConfirmedCancellation());
}

// The dispatcher has lost sight of the entry host, whose connections stay open.
BOOST_FIXTURE_TEST_CASE(A_result_that_could_not_be_sent_is_sent_when_the_entry_host_reports_again, TwoEntryHostsFixture)
{
    submitFrom("h2", 2, 7);
    BOOST_REQUIRE(port.starts.size() == 1);
    advance(Milliseconds(900));
    endRun(RunEnd::Done);
    BOOST_REQUIRE(resultsTo("10.0.0.2").empty());
    reportFrom("h2", 2);
    advance(Milliseconds(250));
    BOOST_TEST(resultsTo("10.0.0.2").size() == 1);
}

// The entry host's report may arrive before this host is connected to it again.
BOOST_FIXTURE_TEST_CASE(A_result_that_could_not_be_sent_after_a_report_either_is_sent_after_the_next_one, TwoEntryHostsFixture)
{
    submitFrom("h2", 2, 7);
    advance(Milliseconds(900));
    endRun(RunEnd::Done);
    BOOST_REQUIRE(resultsTo("10.0.0.2").empty());
    port.acceptsFrames = false;
    reportFrom("h2", 2);
    port.acceptsFrames = true;
    BOOST_REQUIRE(resultsTo("10.0.0.2").empty());
    reportFrom("h2", 2);
    advance(Milliseconds(250));
    BOOST_TEST(resultsTo("10.0.0.2").size() == 1);
    reportFrom("h2", 2);
    advance(Milliseconds(250));
    BOOST_TEST(resultsTo("10.0.0.2").size() == 1);
}

// A report that was overtaken does not show that the entry host is there.
BOOST_FIXTURE_TEST_CASE(A_result_that_could_not_be_sent_is_kept_when_an_overtaken_report_arrives, TwoEntryHostsFixture)
{
    auto overtaken = report("h2", 2, false);
    overtaken.sentAt = now - Begin;
    advance(Milliseconds(25));
    reportFrom("h2", 2);
    submitFrom("h2", 2, 7);
    advance(Milliseconds(900));
    endRun(RunEnd::Done);
    BOOST_REQUIRE(resultsTo("10.0.0.2").empty());
    node.onFrame(overtaken, now);
    BOOST_REQUIRE(resultsTo("10.0.0.2").empty());
    reportFrom("h2", 2);
    advance(Milliseconds(250));
    BOOST_TEST(resultsTo("10.0.0.2").size() == 1);
}

// It knows no recipient for the returned job while it does not see the entry host.
BOOST_FIXTURE_TEST_CASE(A_job_whose_grant_has_ended_is_returned_when_the_entry_host_reports_again, TwoEntryHostsFixture)
{
    auto frame = frameFrom("h2", 2);
    frame.grant = JobGrant {1, now + GrantLength, 100, 1};
    frame.submissions.push_back(job("j"));
    frame.submissions.back().entryHost = "h2";
    frame.submissions.back().number = 7;
    node.onFrame(frame, now);
    BOOST_REQUIRE(port.starts.size() == 1);
    advance(Milliseconds(1200));
    BOOST_REQUIRE(port.stops.size() == 1);
    endRun(RunEnd::Stopped);
    BOOST_REQUIRE(resultsTo("10.0.0.2").empty());
    reportFrom("h2", 2);
    advance(Milliseconds(250));
    BOOST_TEST(resultsTo("10.0.0.2").size() == 1);
}

// A repetition was under way when the dispatcher restarted, and reaches its next process, whose refusal overtakes its first report.
BOOST_FIXTURE_TEST_CASE(A_refusal_by_the_next_process_of_a_dispatcher_does_not_show_that_a_job_has_not_run, LostDispatcherFixture)
{
    const auto first = lastSubmission();
    node.onConnectionLost({"10.0.0.2", 7000}, now);
    advance(Milliseconds(25));
    sendReport();
    advance(Milliseconds(25));
    BOOST_REQUIRE(submissionsToDispatcher().size() == 2);
    const auto epoch = submissionsToDispatcher().back().second;
    FleetFrame refusal;
    refusal.host = "h2";
    refusal.incarnation = 20;
    refusal.sentAt = now - Begin;
    refusal.ended.push_back({"j", {JobEnd::NotRun, JobEndReason::GrantEnded, Seconds(1), {}}, epoch, first.number});
    node.onFrame(refusal, now);
    const auto refusedAt = now;
    port.frames.clear();
    auto other = report("h3", 3, true);
    other.sentAt = now - Begin;
    node.onFrame(other, now);
    advance(Milliseconds(200));
    if (port.answers.contains("j")) {
        BOOST_TEST((port.answers.at("j").answer != CallerAnswer::NotRun));
    } else if (!submissionsToDispatcher().empty()) {
        BOOST_TEST((lastSubmission().mayStartAt() >= refusedAt + Seconds(1)));
    }
}

// A run goes on at the target under its next owner for as long as its lease.
BOOST_FIXTURE_TEST_CASE(A_job_that_comes_again_after_it_has_ended_with_a_lost_target_waits_for_its_run, RunningJobFixture)
{
    scheduler.cancel("j", "entry", now, 1);
    const auto lostAt = now;
    scheduler.loseTarget(port.starts.at(0).target, now);
    BOOST_TEST(!scheduler.hasJobOf("j", "entry"));
    submit(numberedJob(2));
    while (port.starts.size() == 1 && now < lostAt + Seconds(3)) {
        advance(Milliseconds(25));
    }
    BOOST_REQUIRE(port.starts.size() > 1);
    BOOST_TEST((now >= lostAt + SchedulerLimits().maxLease));
}

// The entry host that submits it waits by itself; one that takes the job over does not know of the loss.
BOOST_FIXTURE_TEST_CASE(A_job_that_another_entry_host_submits_after_its_target_was_lost_waits_for_its_run, RunningJobFixture)
{
    const auto lostAt = now;
    scheduler.loseTarget(port.starts.at(0).target, now);
    BOOST_REQUIRE(port.ended.size() == 1);
    auto again = numberedJob(2);
    again.entryHost = "other entry";
    submit(again);
    while (port.starts.size() == 1 && now < lostAt + Seconds(3)) {
        advance(Milliseconds(25));
    }
    BOOST_REQUIRE(port.starts.size() > 1);
    BOOST_TEST((now >= lostAt + SchedulerLimits().maxLease));
}

// The lost dispatcher may not hear the target, take the run for ended with its lease, and start the task again under its grant.
BOOST_FIXTURE_TEST_CASE(The_lease_of_an_adopted_run_is_not_extended_while_the_lost_dispatcher_may_start_its_task, SchedulerFixture)
{
    scheduler.addTarget(entry("t1"), Token, now);
    const RunName run {{"j", 0, 0, 0}, 1};
    answerRenewal("t1", {{run, 40}});
    auto submission = job("j", 1, 14000, Milliseconds(1000));
    submission.callerDeadline = now + Seconds(9);
    submission.lostDispatcher = "h2#2";
    submission.lostDispatcherRunsEndBy = now + Milliseconds(1500);
    submit(withRun(submission, "t1", run));
    // From the end of the grant on the lost dispatcher starts nothing.
    const auto grantEnd = submission.mayStartAt() - SchedulerLimits().maxLease - LeaseExpiryMargin;
    while (now + Milliseconds(25) < grantEnd) {
        advance(Milliseconds(25));
        answerRenewal("t1", {{run, 40}});
        BOOST_TEST_REQUIRE(lastRenewal("t1").leaseUntilMs == 0);
    }
}

// The entry host has lost the first dispatcher with its connection and handed the job on to the owner of the target.
BOOST_FIXTURE_TEST_CASE(A_dispatcher_does_not_start_a_task_again_while_the_next_one_extends_its_run, SchedulerFixture)
{
    constexpr Milliseconds LastReport {400};
    constexpr Milliseconds HandOn {600};
    claimTarget("t1");
    claimTarget("t2");
    const auto begin = now;
    auto submission = job("j", 1, 14000, Milliseconds(1000));
    submission.callerDeadline = now + Seconds(9);
    submission.grantEpoch = 1;
    scheduler.onGrant("entry", 1, {1, begin + LastReport + GrantLength, 100, 1}, now);
    submit(submission);
    BOOST_REQUIRE(port.starts.size() == 1);
    const auto start = port.starts.front();
    const std::string other = start.target == "t1" ? "t2" : "t1";
    answerStart(0);

    FakeSchedulerPort nextPort;
    Scheduler next {SchedulerLimits(), nextPort, observer};
    std::int64_t leaseUntilMs = start.request.leaseUntilMs;
    const auto answerNext = [&] {
        const auto &request = nextPort.renewals.back().second;
        leaseUntilMs = std::max(leaseUntilMs, request.leaseUntilMs);
        RenewalReply reply;
        reply.result = RequestResult::Accepted;
        reply.fencingToken = request.fencingToken;
        reply.sequence = request.sequence;
        reply.sentAt = request.sentAt;
        reply.listing.clockMs = clockMs();
        reply.listing.startedAtMs = startedAtMs;
        reply.listing.running = {{start.request.name, 10}};
        next.onRenewalReply(start.target, reply, now);
    };
    while (port.starts.size() == 1 && now < begin + Seconds(3)) {
        advance(Milliseconds(25));
        answerRenewal(start.target, {}, {}, RequestResult::Unknown);
        answerRenewal(other, {});
        if (now == begin + HandOn) {
            next.addTarget(entry(start.target), Token + 1, now);
            answerNext();
            submission.grantEpoch = 0;
            submission.lostDispatcher = "h2#2";
            submission.lostDispatcherRunsEndBy = begin + LastReport + GrantLength + SchedulerLimits().maxLease + LeaseExpiryMargin;
            next.submit(withRun(submission, start.target, start.request.name), now);
        } else if (now > begin + HandOn) {
            next.tick(now);
            answerNext();
        }
    }
    const bool hasStartedAgain = port.starts.size() > 1;
    BOOST_TEST_MESSAGE("second start " << hasStartedAgain << " at " << clockMs() << " ms, lease until " << leaseUntilMs << " ms");
    BOOST_TEST((!hasStartedAgain || clockMs() >= leaseUntilMs));
}

BOOST_FIXTURE_TEST_CASE(The_lease_of_an_adopted_run_is_extended_after_the_takeover_of_the_lost_dispatcher, SchedulerFixture)
{
    scheduler.addTarget(entry("t1"), Token, now);
    const RunName run {{"j", 0, 0, 0}, 1};
    answerRenewal("t1", {{run, 40}});
    auto submission = job("j", 1, 14000, Milliseconds(1000));
    submission.callerDeadline = now + Seconds(9);
    submission.lostDispatcher = "h2#2";
    submission.lostDispatcherRunsEndBy = now + Milliseconds(1500);
    submit(withRun(submission, "t1", run));
    scheduler.onTakeoverComplete("h2#2", now);
    advance(Milliseconds(25));
    answerRenewal("t1", {{run, 40}});
    BOOST_TEST(lastRenewal("t1").leaseUntilMs > 0);
}

// Incarnations are random, so that the numbers of the next process may be lower. The job would run again when its submission is repeated.
BOOST_FIXTURE_TEST_CASE(A_late_result_of_an_earlier_process_does_not_hide_that_of_the_next_one, RunningJobFixture)
{
    scheduler.onGrant("entry", 1, {1, now + Seconds(1), 100, 1}, now);
    auto old = numberedJob(submissionNumber(9, 1));
    old.request.id = "k";
    submit(old);
    BOOST_REQUIRE(port.starts.size() == 2);
    answerStart(1);
    scheduler.onGrant("entry", 2, {1, now + Seconds(1), 100, 1}, now);
    endRun(1, RunEnd::Stopped);
    auto next = numberedJob(submissionNumber(3, 1));
    next.request.id = "k";
    submit(next);
    BOOST_REQUIRE(port.starts.size() == 3);
    answerStart(2);
    endRun(2, RunEnd::Done, 2);
    BOOST_TEST(scheduler.resultOf(next).has_value());
}

BOOST_AUTO_TEST_SUITE_END()
