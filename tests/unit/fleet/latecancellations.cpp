#include "fleet/owedcancellations.h"
#include "hostnodefixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>

using namespace Anvilcart;
using namespace Anvilcart::Fleet;

namespace
{
/// A dispatcher that runs the job "j", which the entry host h2 has submitted.
struct CancellingEntryHostFixture : HostNodeFixture
{
    CancellingEntryHostFixture()
    {
        claimTarget("t1");
        node.onFrame(report("h2", 2, false), now);
    }

    FleetFrame frameFromEntryHost() const
    {
        FleetFrame frame;
        frame.host = "h2";
        frame.incarnation = 2;
        return frame;
    }

    void submit(std::uint64_t number)
    {
        auto frame = frameFromEntryHost();
        frame.submissions.push_back(job("j"));
        frame.submissions.back().entryHost = "h2";
        frame.submissions.back().number = number;
        node.onFrame(frame, now);
    }

    void cancel(std::uint64_t number)
    {
        auto frame = frameFromEntryHost();
        frame.cancellations.push_back({"j", number});
        node.onFrame(frame, now);
    }

    /// The number in the last confirmation that was sent; nothing without one.
    std::optional<std::uint64_t> lastConfirmedNumber() const
    {
        std::optional<std::uint64_t> number;
        for (const auto &[endpoint, frame] : port.frames) {
            for (const auto &confirmation : frame.confirmedCancellations) {
                number = confirmation.submissionNumber;
            }
        }
        return number;
    }
};

/// An entry host that has submitted the job "j" to the dispatcher h2.
struct OwingEntryHostFixture : HostNodeFixture
{
    OwingEntryHostFixture()
    {
        node.onFrame(report("h2", 2, true), now);
        node.submit(job("j"), now);
    }

    void confirm(std::uint64_t number)
    {
        FleetFrame frame;
        frame.host = "h2";
        frame.incarnation = 2;
        frame.confirmedCancellations.push_back({"j", number});
        node.onFrame(frame, now);
    }

    /// The numbers of the cancellations that were sent since the last call.
    std::vector<std::uint64_t> takeCancelledNumbers()
    {
        std::vector<std::uint64_t> numbers;
        for (const auto &[endpoint, frame] : port.frames) {
            for (const auto &cancellation : frame.cancellations) {
                numbers.push_back(cancellation.submissionNumber);
            }
        }
        port.frames.clear();
        return numbers;
    }
};

/// A dispatcher with the target t1 and the entry host h2, which cancels jobs in frames that grant.
struct CancelledByGrantingFrameFixture : HostNodeFixture
{
    CancelledByGrantingFrameFixture()
    {
        claimTarget("t1");
        advance(Seconds(2));
        answerRenewal("t1", {});
        node.onFrame(report("h2", 2, false), now);
    }

    FleetFrame grantingFrame(TimePoint until, std::uint64_t confirmedClaims = 100) const
    {
        FleetFrame frame;
        frame.host = "h2";
        frame.incarnation = 2;
        frame.grant = JobGrant {1, until, confirmedClaims, 1};
        return frame;
    }

    void addSubmission(FleetFrame &frame, const std::string &id, std::uint64_t number) const
    {
        frame.submissions.push_back(job(id));
        frame.submissions.back().entryHost = "h2";
        frame.submissions.back().number = number;
    }

    std::int64_t targetClockMs(TimePoint time) const
    {
        return 1000 + std::chrono::duration_cast<Milliseconds>(time - Begin).count();
    }
};
} // namespace

BOOST_AUTO_TEST_SUITE(LateCancellationsSuite, *boost::unit_test::label("fleet"))

// A frame over an old connection may arrive after those over the next one.
BOOST_FIXTURE_TEST_CASE(A_late_cancellation_does_not_end_a_newer_submission, CancellingEntryHostFixture)
{
    submit(5);
    submit(6);
    cancel(5);
    BOOST_TEST(port.stops.empty());
    BOOST_REQUIRE(lastConfirmedNumber().has_value());
    BOOST_TEST(*lastConfirmedNumber() == 5);
    cancel(6);
    BOOST_TEST(port.stops.size() == 1);
}

BOOST_FIXTURE_TEST_CASE(A_late_cancellation_does_not_drop_a_submission_that_waits_for_the_end_of_the_one_before, CancellingEntryHostFixture)
{
    submit(5);
    cancel(5);
    submit(6);
    cancel(5);
    BOOST_REQUIRE(port.starts.size() == 1);
    BOOST_TEST(!lastConfirmedNumber().has_value());
    advance(Milliseconds(25));
    answerRenewal("t1", {}, {{1, port.starts.at(0).second.name, RunEnd::Stopped}});
    BOOST_TEST(port.starts.size() == 2);
    cancel(5);
    BOOST_REQUIRE(lastConfirmedNumber().has_value());
    BOOST_TEST(*lastConfirmedNumber() == 5);
    BOOST_TEST(port.stops.size() == 1);
}

BOOST_FIXTURE_TEST_CASE(A_cancellation_ends_the_submission_before_it_when_its_own_was_lost, CancellingEntryHostFixture)
{
    submit(5);
    cancel(6);
    BOOST_TEST(port.stops.size() == 1);
}

BOOST_FIXTURE_TEST_CASE(A_cancellation_of_a_host_that_names_no_submission_ends_any, CancellingEntryHostFixture)
{
    submit(5);
    cancel(0);
    BOOST_TEST(port.stops.size() == 1);
}

BOOST_FIXTURE_TEST_CASE(A_cancellation_by_a_process_that_has_ended_does_not_end_a_job_of_the_next_one, CancellingEntryHostFixture)
{
    auto restarted = report("h2", 2, false);
    restarted.incarnation = 20;
    restarted.report->incarnation = 20;
    node.onFrame(restarted, now);
    auto frame = frameFromEntryHost();
    frame.incarnation = 20;
    frame.submissions.push_back(job("j"));
    frame.submissions.back().entryHost = "h2";
    frame.submissions.back().number = 1;
    node.onFrame(frame, now);
    BOOST_REQUIRE(port.starts.size() == 1);
    cancel(5);
    BOOST_TEST(port.stops.empty());
}

BOOST_FIXTURE_TEST_CASE(A_late_confirmation_leaves_the_cancellation_of_a_newer_submission_owed, OwingEntryHostFixture)
{
    node.cancel("j", now);
    const auto first = takeCancelledNumbers();
    BOOST_REQUIRE(first.size() == 1);
    node.submit(job("j"), now);
    node.cancel("j", now);
    const auto second = takeCancelledNumbers();
    BOOST_REQUIRE(second.size() == 1);
    BOOST_TEST(second.front() > first.front());
    confirm(first.front());
    advance(Milliseconds(300));
    BOOST_TEST(!takeCancelledNumbers().empty());
    confirm(second.front());
    advance(Milliseconds(300));
    BOOST_TEST(takeCancelledNumbers().empty());
}

// A dispatcher that has missed a cancellation must not run the job on under a grant that is renewed before the next report.
BOOST_FIXTURE_TEST_CASE(Each_frame_that_renews_a_grant_repeats_the_cancellations_that_are_owed, OwingEntryHostFixture)
{
    port.acceptsFrames = false;
    node.cancel("j", now);
    port.acceptsFrames = true;
    port.frames.clear();
    node.submit(job("k"), now);
    BOOST_REQUIRE(port.frames.size() == 1);
    BOOST_TEST(port.frames.back().second.grant.has_value());
    BOOST_TEST(takeCancelledNumbers().size() == 1);
}

// Many callers go at once when their jobs wait for a dispatcher that has just stood still. It has to read all of these frames.
BOOST_FIXTURE_TEST_CASE(Cancellations_of_many_jobs_are_not_repeated_with_each_other, OwingEntryHostFixture)
{
    constexpr std::size_t JobCount = 100;
    for (std::size_t index = 0; index < JobCount; ++index) {
        node.submit(job("k" + std::to_string(index)), now);
    }
    port.frames.clear();
    for (std::size_t index = 0; index < JobCount; ++index) {
        node.cancel("k" + std::to_string(index), now);
    }
    const bool anyGrants = std::any_of(port.frames.begin(), port.frames.end(), [](const auto &sent) {
        return sent.second.grant.has_value();
    });
    BOOST_TEST(!anyGrants);
    BOOST_TEST(takeCancelledNumbers().size() == JobCount);
    node.submit(job("l"), now);
    BOOST_TEST(takeCancelledNumbers().size() == JobCount);
}

BOOST_FIXTURE_TEST_CASE(A_frame_that_submits_a_job_again_does_not_cancel_it, OwingEntryHostFixture)
{
    node.cancel("j", now);
    takeCancelledNumbers();
    node.submit(job("j"), now);
    BOOST_TEST(takeCancelledNumbers().empty());
}

BOOST_FIXTURE_TEST_CASE(A_confirmation_of_a_host_that_names_no_submission_covers_any, OwingEntryHostFixture)
{
    node.cancel("j", now);
    confirm(0);
    takeCancelledNumbers();
    advance(Milliseconds(300));
    BOOST_TEST(takeCancelledNumbers().empty());
}

// Issue 51, review: the frame that renewed the grant started a job that it cancelled.
BOOST_FIXTURE_TEST_CASE(A_frame_does_not_start_a_waiting_job_that_it_cancels, CancellingEntryHostFixture)
{
    const auto frameWithGrant = [this](Duration length) {
        auto frame = frameFromEntryHost();
        frame.grant = JobGrant {1, now + length, 100, 1};
        return frame;
    };
    auto first = frameWithGrant(Duration(0));
    first.submissions.push_back(job("j"));
    first.submissions.back().entryHost = "h2";
    first.submissions.back().number = 5;
    node.onFrame(first, now);
    BOOST_TEST_REQUIRE(port.starts.empty());
    auto second = frameWithGrant(Milliseconds(900));
    second.submissions.push_back(job("k"));
    second.submissions.back().entryHost = "h2";
    second.submissions.back().number = 6;
    second.cancellations.push_back({"j", 5});
    node.onFrame(second, now);
    BOOST_TEST_REQUIRE(port.starts.size() == 1);
    BOOST_TEST(port.starts.front().second.name.task.jobId == "k");
}

// Its caller may have gone right after the look on which the first grant rests, and comes again 1.3 s later.
BOOST_FIXTURE_TEST_CASE(A_grant_does_not_extend_the_leases_of_a_run_that_its_frame_cancels, CancelledByGrantingFrameFixture)
{
    const auto firstGrantEnd = now + Milliseconds(900);
    auto first = grantingFrame(firstGrantEnd);
    addSubmission(first, "j", 1);
    addSubmission(first, "k", 2);
    node.onFrame(first, now);
    BOOST_TEST_REQUIRE(port.starts.size() == 2);
    std::vector<ActiveRun> running;
    for (const auto &[target, request] : port.starts) {
        TargetReply reply;
        reply.result = RequestResult::Accepted;
        reply.fencingToken = request.fencingToken;
        node.onStartReply(target, request.name, reply, now);
        running.push_back({request.name});
    }
    std::int64_t longest = 0;
    const auto runFor = [&](Duration time) {
        for (const auto end = now + time; now < end;) {
            advance(TickPeriod);
            answerRenewal("t1", running);
            for (const auto &[target, request] : port.renewals) {
                longest = std::max(longest, request.leaseUntilMs);
            }
        }
    };
    runFor(Milliseconds(500));
    // The dispatcher has claimed a further target meanwhile, which this grant confirms.
    auto next = grantingFrame(now + Milliseconds(900), 101);
    next.cancellations.push_back({"j", 1});
    node.onFrame(next, now);
    runFor(Seconds(2));
    BOOST_TEST(longest > targetClockMs(firstGrantEnd - Milliseconds(900)));
    BOOST_TEST(longest <= targetClockMs(firstGrantEnd + LongestRunAfterGrant));
}

BOOST_FIXTURE_TEST_CASE(An_entry_host_is_sent_a_notice_of_a_run_that_outlasts_its_grant, CancelledByGrantingFrameFixture)
{
    auto first = grantingFrame(now + Milliseconds(900));
    addSubmission(first, "j", 1);
    node.onFrame(first, now);
    BOOST_TEST_REQUIRE(port.starts.size() == 1);
    const auto request = port.starts.front().second;
    TargetReply reply;
    reply.result = RequestResult::Accepted;
    reply.fencingToken = request.fencingToken;
    node.onStartReply("t1", request.name, reply, now);
    answerRenewal("t1", {{request.name}});
    node.onFrame(report("h3", 3, false), now);
    auto second = grantingFrame(now + Milliseconds(100));
    second.host = "h3";
    second.incarnation = 3;
    addSubmission(second, "j", 2);
    second.submissions.back().entryHost = "h3";
    node.onFrame(second, now);
    BOOST_TEST(std::any_of(port.frames.begin(), port.frames.end(), [](const auto &sent) {
        const auto &notices = sent.second.longRuns;
        return sent.first.address == "10.0.0.3" && notices.size() == 1 && notices.front().jobId == "j"
            && notices.front().submissionNumber == 2;
    }));
}

BOOST_AUTO_TEST_SUITE_END()
