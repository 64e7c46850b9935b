#include "hostnodefixture.h"
#include "schedulerfixture.h"

#include <boost/test/unit_test.hpp>

using namespace Anvilcart;
using namespace Anvilcart::Fleet;

namespace
{
constexpr Milliseconds GrantLength {900};
constexpr Milliseconds LongestLease {1000};
/// Callers send a job again this long after its connection broke.
constexpr Milliseconds ResubmitDelay {1300};

/// An entry host that has handed the job "j" on from h2, which it does not see any more, to h3.
struct HandedOnJobFixture : HostNodeFixture
{
    HandedOnJobFixture()
    {
        auto first = report("h2", 2, true);
        first.sentAt = now - Begin;
        node.onFrame(first, now);
        lastReportAt = now;
        node.submit(job("j"), now);
        while (lastSubmissionTo("10.0.0.3") == nullptr && now - lastReportAt < Seconds(2)) {
            hearSecondDispatcher(Milliseconds(100));
        }
    }

    void hearSecondDispatcher(Duration time)
    {
        for (const auto end = now + time; now < end;) {
            node.onFrame(report("h3", 3, true), now);
            advance(Milliseconds(100));
        }
    }

    const JobSubmission *lastSubmissionTo(const std::string &address) const
    {
        const JobSubmission *last = nullptr;
        for (const auto &[endpoint, frame] : port.frames) {
            if (endpoint.address == address && !frame.submissions.empty()) {
                last = &frame.submissions.back();
            }
        }
        return last;
    }

    /// The caller goes, and h3 confirms the cancellation.
    void giveUp()
    {
        node.cancel("j", now);
        FleetFrame confirmation;
        confirmation.host = "h3";
        confirmation.incarnation = 3;
        confirmation.confirmedCancellations.push_back({"j"});
        node.onFrame(confirmation, now);
        port.frames.clear();
    }

    TimePoint lastReportAt;
};
} // namespace

BOOST_AUTO_TEST_SUITE(HandedOnJobsSuite, *boost::unit_test::label("fleet"))

// No cancellation is owed to the first dispatcher, which may run the job until its grant and its leases have ended.
BOOST_FIXTURE_TEST_CASE(A_job_that_was_handed_on_and_given_up_waits_for_its_first_dispatcher_when_it_comes_again, HandedOnJobFixture)
{
    BOOST_REQUIRE(lastSubmissionTo("10.0.0.3") != nullptr);
    const auto mayStartAt = lastSubmissionTo("10.0.0.3")->mayStartAt();
    BOOST_REQUIRE((mayStartAt > lastReportAt + GrantLength + LongestLease));
    giveUp();
    node.submit(job("j"), now);
    BOOST_REQUIRE(lastSubmissionTo("10.0.0.3") != nullptr);
    BOOST_TEST((lastSubmissionTo("10.0.0.3")->mayStartAt() == mayStartAt));
}

BOOST_FIXTURE_TEST_CASE(A_job_that_is_given_up_twice_keeps_the_wait_for_its_first_dispatcher, HandedOnJobFixture)
{
    BOOST_REQUIRE(lastSubmissionTo("10.0.0.3") != nullptr);
    const auto mayStartAt = lastSubmissionTo("10.0.0.3")->mayStartAt();
    giveUp();
    node.submit(job("j"), now);
    giveUp();
    node.submit(job("j"), now);
    BOOST_REQUIRE(lastSubmissionTo("10.0.0.3") != nullptr);
    BOOST_TEST((lastSubmissionTo("10.0.0.3")->mayStartAt() == mayStartAt));
}

// Its dispatcher said that it cannot exclude runs, so that the answer was `unknown`.
BOOST_FIXTURE_TEST_CASE(A_job_that_was_answered_unknown_waits_for_its_first_dispatcher_when_it_comes_again, HandedOnJobFixture)
{
    BOOST_REQUIRE(lastSubmissionTo("10.0.0.3") != nullptr);
    const auto mayStartAt = lastSubmissionTo("10.0.0.3")->mayStartAt();
    FleetFrame result;
    result.host = "h3";
    result.incarnation = 3;
    result.ended.push_back({"j", {JobEnd::Abandoned, JobEndReason::WaitedTooLong, Duration(0), {}}});
    node.onFrame(result, now);
    BOOST_REQUIRE(port.answers.contains("j"));
    port.frames.clear();
    node.submit(job("j"), now);
    BOOST_REQUIRE(lastSubmissionTo("10.0.0.3") != nullptr);
    BOOST_TEST((lastSubmissionTo("10.0.0.3")->mayStartAt() == mayStartAt));
}

BOOST_FIXTURE_TEST_CASE(A_job_that_was_handed_on_and_given_up_waits_no_longer_than_its_first_dispatcher_may_run_it, HandedOnJobFixture)
{
    BOOST_REQUIRE(lastSubmissionTo("10.0.0.3") != nullptr);
    const auto mayStartAt = lastSubmissionTo("10.0.0.3")->mayStartAt();
    giveUp();
    hearSecondDispatcher(mayStartAt - now);
    node.submit(job("j"), now);
    BOOST_REQUIRE(lastSubmissionTo("10.0.0.3") != nullptr);
    BOOST_TEST((lastSubmissionTo("10.0.0.3")->mayStartAt() <= now));
}

// Over another entry host nobody knows of the first dispatcher. The entry host hands a job on after the last report that it heard, and
// the caller's connection breaks after that.
BOOST_FIXTURE_TEST_CASE(A_dispatcher_that_no_grant_reaches_has_ended_its_runs_when_callers_send_jobs_again, SchedulerFixture)
{
    claimTarget("t1");
    const auto lastReportAt = now;
    scheduler.onGrant("entry", 1, {1, lastReportAt + GrantLength, 100, 1}, now);
    auto submission = job("j", 1, 14000, Milliseconds(4000));
    submission.callerDeadline = now + Seconds(9);
    submission.grantEpoch = 1;
    submit(submission);
    answerStart(0);
    const auto run = port.starts.at(0).request.name;
    const Duration stopTime = SchedulerLimits().stopTime;
    while (port.stops.empty() && now < lastReportAt + Seconds(3)) {
        advance(Milliseconds(25));
        answerRenewal("t1", {{run, 40}});
    }
    BOOST_REQUIRE(port.stops.size() == 1);
    BOOST_TEST((now + stopTime < lastReportAt + ResubmitDelay));
    now += stopTime;
    answerRenewal("t1", {}, {{1, run, RunEnd::Stopped}});
    advance(Seconds(3));
    BOOST_TEST(port.starts.size() == 1);
}

namespace
{
/// An entry host that has submitted the job "k" to h4, whose runs end soon after its grant as far as it knows.
struct FoundRunsFixture : HandedOnJobFixture
{
    FoundRunsFixture()
    {
        auto dispatcher = report("h4", 4, true);
        dispatcher.report->longestRunAfterGrant = LongestRunAfterGrant;
        dispatcher.report->loads = {{"service", 100, 0, Duration(0)}};
        // h3 is silent meanwhile.
        advance(Seconds(1));
        dispatcher.sentAt = now - Begin;
        node.onFrame(dispatcher, now);
        heardAt = now;
        node.submit(job("k"), now);
        if (const auto *submission = lastSubmissionTo("10.0.0.4")) {
            number = submission->number;
        }
    }

    void announce(TimePoint endBy, std::uint64_t submissionNumber)
    {
        FleetFrame frame;
        frame.host = "h4";
        frame.incarnation = 4;
        frame.sentAt = now - Begin;
        frame.longRuns.push_back({"k", endBy, submissionNumber});
        node.onFrame(frame, now);
    }

    /// Loses h4, and returns when the next dispatcher may start the job.
    TimePoint mayStartOnceHandedOn()
    {
        port.frames.clear();
        while (now < heardAt + Seconds(3)) {
            hearSecondDispatcher(Milliseconds(100));
            const auto *last = lastSubmissionTo("10.0.0.3");
            if (last != nullptr && last->request.id == "k") {
                return last->mayStartAt();
            }
        }
        return TimePoint();
    }

    std::uint64_t number = 0;
    TimePoint heardAt;
};
} // namespace

BOOST_FIXTURE_TEST_CASE(A_job_is_handed_on_after_the_end_of_the_runs_that_its_dispatcher_has_found, FoundRunsFixture)
{
    BOOST_REQUIRE(number != 0);
    const auto endBy = now + Milliseconds(1900);
    announce(endBy, number);
    announce(now + Milliseconds(100), number);
    const auto mayStartAt = mayStartOnceHandedOn();
    BOOST_TEST((mayStartAt >= endBy));
    BOOST_TEST((mayStartAt < endBy + Milliseconds(200)));
}

BOOST_FIXTURE_TEST_CASE(Runs_that_were_found_for_another_submission_of_a_job_do_not_count, FoundRunsFixture)
{
    BOOST_REQUIRE(number != 0);
    announce(now + Milliseconds(1900), number + 1);
    const auto mayStartAt = mayStartOnceHandedOn();
    BOOST_REQUIRE((mayStartAt != TimePoint()));
    BOOST_TEST((mayStartAt < heardAt + GrantLength + 2 * LongestRunAfterGrant));
}

// The dispatcher that comes back names its long runs, stops them, and then says that nothing of the job runs there any more.
BOOST_FIXTURE_TEST_CASE(A_job_waits_for_no_run_that_its_earlier_dispatcher_has_ended, FoundRunsFixture)
{
    BOOST_REQUIRE(number != 0);
    for (const bool isAnnounced : {false, true}) {
        FoundRunsFixture f;
        f.mayStartOnceHandedOn();
        BOOST_REQUIRE(f.lastSubmissionTo("10.0.0.3") != nullptr);
        const auto second = f.lastSubmissionTo("10.0.0.3")->number;
        auto back = f.report("h4", 4, true);
        back.sentAt = f.now - Begin;
        f.node.onFrame(back, f.now);
        if (isAnnounced) {
            f.announce(f.now + Milliseconds(1000), f.number);
        }
        f.hearSecondDispatcher(Milliseconds(100));
        FleetFrame ended;
        ended.host = "h4";
        ended.incarnation = 4;
        ended.sentAt = f.now - Begin;
        ended.ended.push_back({"k", {JobEnd::Abandoned, JobEndReason::GrantEnded, Duration(0), {}}, 1, f.number});
        f.node.onFrame(ended, f.now);
        f.port.frames.clear();
        // The next dispatcher sends the job back.
        FleetFrame refusal;
        refusal.host = "h3";
        refusal.incarnation = 3;
        refusal.ended.push_back({"k", {JobEnd::NotRun, JobEndReason::GrantEnded, Duration(0), {}}, 0, second});
        f.node.onFrame(refusal, f.now);
        for (int i = 0; i < 2; ++i) {
            f.hearSecondDispatcher(Milliseconds(100));
        }
        const JobSubmission *last = nullptr;
        for (const auto &[endpoint, frame] : f.port.frames) {
            if (!frame.submissions.empty()) {
                last = &frame.submissions.back();
            }
        }
        BOOST_TEST_CONTEXT("announced " << isAnnounced)
        {
            BOOST_REQUIRE(last != nullptr);
            BOOST_TEST((last->mayStartAt() <= f.now));
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
