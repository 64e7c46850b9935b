#include "lostdispatcherfixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace Anvilcart;
using namespace Anvilcart::Fleet;

namespace
{
/// Longer than any frame may be held up and still count as fresh.
constexpr Seconds HoldUp {4};

/// A dispatcher that owns the target t1. h2 is an entry host; its reports arrive without delay.
struct HeldUpFramesFixture : HostNodeFixture
{
    HeldUpFramesFixture()
    {
        claimTarget("t1");
        reportOfEntryHost();
    }

    void reportOfEntryHost(Duration delay = Duration(0))
    {
        auto frame = report("h2", 2, false);
        frame.sentAt = now - Begin - delay;
        node.onFrame(frame, now);
    }

    /// A frame of h2 that was sent this long ago.
    FleetFrame frameOfEntryHost(Duration delay = Duration(0)) const
    {
        FleetFrame frame;
        frame.host = "h2";
        frame.incarnation = 2;
        frame.sentAt = now - Begin - delay;
        return frame;
    }

    /// Submits "j", which must wait for the runs of the lost dispatcher h3.
    void submitAfterLoss(std::uint64_t number)
    {
        auto frame = frameOfEntryHost();
        frame.submissions.push_back(job("j"));
        auto &submission = frame.submissions.back();
        submission.entryHost = "h2";
        submission.number = number;
        submission.lostDispatcher = "h3#3";
        submission.lostDispatcherRunsEndBy = now + Seconds(2);
        node.onFrame(frame, now);
    }

    void cancel(std::uint64_t number)
    {
        auto frame = frameOfEntryHost();
        frame.cancellations.push_back({"j", number});
        node.onFrame(frame, now);
    }
};

/// An entry host whose job "j" the dispatcher h2 has.
struct CrashNoticesFixture : HostNodeFixture
{
    void submitJob()
    {
        node.onFrame(report("h2", 2, true), now);
        node.submit(job("j"), now);
    }

    void notify(std::uint64_t number, std::uint32_t lostTargets)
    {
        FleetFrame frame;
        frame.host = "h2";
        frame.incarnation = 2;
        frame.crashNotices.push_back({"j", {{0, 0, lostTargets, 0, 0, true}}, number});
        node.onFrame(frame, now);
    }

    /// Ends h2 and returns the count in the submission to h3.
    std::uint32_t lostTargetsThatTheNextDispatcherLearns()
    {
        node.onLinkClosed("h2", 2, now);
        node.onFrame(report("h3", 3, true), now);
        advance(Seconds(1));
        const auto submission = std::find_if(port.frames.begin(), port.frames.end(), [](const auto &sent) {
            return sent.first.address == "10.0.0.3" && !sent.second.submissions.empty();
        });
        BOOST_REQUIRE((submission != port.frames.end()));
        return submission->second.submissions.front().crashes.front().lostTargets;
    }
};
} // namespace

BOOST_AUTO_TEST_SUITE(LateWordsSuite, *boost::unit_test::label("fleet"))

// h3 had the job twice and was lost twice; that it ran nothing of it the first time says nothing of the second.
BOOST_FIXTURE_TEST_CASE(A_late_release_does_not_end_the_wait_of_a_newer_submission, HeldUpFramesFixture)
{
    submitAfterLoss(5);
    cancel(5);
    submitAfterLoss(7);
    auto late = frameOfEntryHost(HoldUp);
    late.releases.push_back({"j", "h3#3", 5});
    node.onFrame(late, now);
    BOOST_TEST(port.starts.empty());
    auto release = frameOfEntryHost();
    release.releases.push_back({"j", "h3#3", 7});
    node.onFrame(release, now);
    BOOST_TEST(port.starts.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(A_release_by_another_host_than_the_entry_host_does_not_end_the_wait_of_a_submission, HeldUpFramesFixture)
{
    node.onFrame(report("h4", 4, false), now);
    submitAfterLoss(5);
    FleetFrame other;
    other.host = "h4";
    other.incarnation = 4;
    other.releases.push_back({"j", "h3#3", 5});
    node.onFrame(other, now);
    BOOST_TEST(port.starts.empty());
}

// A result is sent again when its submission is repeated, and the copy may be read when the dispatcher has the job again.
BOOST_FIXTURE_TEST_CASE(A_late_copy_of_a_refusal_does_not_end_the_wait_for_a_newer_submission, LostDispatcherFixture)
{
    const auto refused = lastSubmission();
    FleetFrame refusal;
    refusal.host = "h2";
    refusal.incarnation = 2;
    refusal.ended.push_back({"j", {JobEnd::NotRun, JobEndReason::NoTargets, Duration(0), {}}, 1, refused.number});
    node.onFrame(refusal, now);
    advance(Milliseconds(100));
    BOOST_REQUIRE(lastSubmission().number > refused.number);
    targetsDigest = 0;
    sendReport();
    takeOver();
    advance(Milliseconds(100));
    BOOST_REQUIRE(port.starts.empty());
    node.onFrame(refusal, now);
    BOOST_TEST(port.starts.empty());
}

// The caller asked over h2, was told that the outcome is not known, and sent the job again.
BOOST_FIXTURE_TEST_CASE(A_late_inquiry_does_not_cancel_the_next_life_of_a_job, HeldUpFramesFixture)
{
    node.submit(job("j"), now);
    auto late = frameOfEntryHost(HoldUp);
    late.cancelInquiries = {"j"};
    node.onFrame(late, now);
    BOOST_TEST(port.stops.empty());
    BOOST_TEST(port.answers.empty());
    auto inquiry = frameOfEntryHost();
    inquiry.cancelInquiries = {"j"};
    node.onFrame(inquiry, now);
    BOOST_TEST(port.stops.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(A_late_answer_to_an_earlier_inquiry_does_not_decide_the_next_one, HeldUpFramesFixture)
{
    node.requestCancel("j", now);
    auto late = frameOfEntryHost(HoldUp);
    late.cancelAnswers.push_back({"j", false});
    node.onFrame(late, now);
    BOOST_TEST(port.cancels.empty());
    auto answer = frameOfEntryHost();
    answer.cancelAnswers.push_back({"j", false});
    node.onFrame(answer, now);
    BOOST_TEST(port.cancels.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(Of_two_words_on_a_lost_dispatcher_the_newer_one_counts_in_whichever_order_they_are_read, LostDispatcherFixture)
{
    node.onFrame(report("h4", 4, false), now);
    const auto heardHere = lastReportAt - Begin;
    advance(Milliseconds(800));
    const auto tell = [this](Duration reportSentAt) {
        FleetFrame frame;
        frame.host = "h4";
        frame.incarnation = 4;
        frame.lostDispatchers.push_back({"h2", 2, reportSentAt, now, {PoolName()}, 0});
        node.onFrame(frame, now);
    };
    tell(heardHere + Seconds(2));
    tell(heardHere + Seconds(1));
    node.onFrame(report("h3", 3, true), now);
    advance(Milliseconds(100));
    const auto submission = std::find_if(port.frames.begin(), port.frames.end(), [](const auto &sent) {
        return sent.first.address == "10.0.0.3" && !sent.second.submissions.empty();
    });
    BOOST_REQUIRE((submission != port.frames.end()));
    BOOST_REQUIRE(submission->second.lostDispatchers.size() == 1U);
    BOOST_TEST((submission->second.lostDispatchers.front().reportSentAt == heardHere + Seconds(2)));
}

// Two connections of one dispatcher may deliver its notices out of order.
BOOST_FIXTURE_TEST_CASE(A_late_crash_notice_does_not_take_back_what_a_newer_one_has_said, CrashNoticesFixture)
{
    submitJob();
    notify(2, 2);
    notify(1, 1);
    BOOST_TEST(lostTargetsThatTheNextDispatcherLearns() == 2U);
}

// A dispatcher may lower a count.
BOOST_FIXTURE_TEST_CASE(A_newer_crash_notice_replaces_one_that_says_more, CrashNoticesFixture)
{
    submitJob();
    notify(1, 2);
    notify(2, 1);
    BOOST_TEST(lostTargetsThatTheNextDispatcherLearns() == 1U);
}

BOOST_FIXTURE_TEST_CASE(Crash_notices_of_earlier_versions_count_in_the_order_in_which_they_are_read, CrashNoticesFixture)
{
    submitJob();
    notify(0, 1);
    notify(0, 2);
    BOOST_TEST(lostTargetsThatTheNextDispatcherLearns() == 2U);
}

// The first frame of a sender has nothing to compare its delay with. The grant beside its jobs tells that they are late.
BOOST_FIXTURE_TEST_CASE(Jobs_in_the_first_frame_of_a_sender_are_refused_when_their_grant_has_ended, HostNodeFixture)
{
    claimTarget("t1");
    auto first = report("h2", 2, false);
    first.sentAt = now - Begin - HoldUp;
    first.grant = JobGrant {1, now - HoldUp + GrantLength, 100, 1};
    first.submissions.push_back(job("j"));
    first.submissions.back().entryHost = "h2";
    first.submissions.back().number = 1;
    node.onFrame(first, now);
    BOOST_TEST(port.starts.empty());
}

// Its steady clock stops while its machine is suspended, so that all of its later frames look late by as much.
BOOST_FIXTURE_TEST_CASE(The_jobs_of_a_host_that_was_suspended_count_again_within_half_a_minute, HeldUpFramesFixture)
{
    const auto wokenAt = now;
    std::uint64_t number = 0;
    while (port.starts.empty() && now - wokenAt < Seconds(60)) {
        reportOfEntryHost(HoldUp);
        auto frame = frameOfEntryHost(HoldUp);
        frame.submissions.push_back(job("j" + std::to_string(++number)));
        frame.submissions.back().entryHost = "h2";
        frame.submissions.back().number = number;
        node.onFrame(frame, now);
        advance(Milliseconds(200));
        answerRenewal("t1", {});
    }
    BOOST_REQUIRE(!port.starts.empty());
    BOOST_TEST((now - wokenAt > HoldUp));
    BOOST_TEST((now - wokenAt <= Seconds(31)));
}

BOOST_AUTO_TEST_SUITE_END()
