#include "fleet/fleetframe.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace Anvilcart;
using namespace Anvilcart::Fleet;

namespace
{
constexpr TimePoint Now {std::chrono::hours(1)};

FleetFrame completeFrame()
{
    FleetFrame frame;
    frame.host = "h1";
    frame.incarnation = 7;
    HostReport report;
    report.zone = "a";
    report.peerEndpoint = {"127.0.0.1", 7000};
    report.period = Milliseconds(200);
    report.claims.push_back({{"a", 1}, 12, true, {"t1"}, 3});
    report.loads.push_back({"service", 2, 5, Milliseconds(30)});
    frame.report = report;
    JobSubmission submission;
    submission.request.id = "00000000000000aa";
    submission.request.steps.push_back({});
    submission.request.steps.back().taskCount = 3;
    submission.request.steps.back().rackLocal = true;
    submission.entryHost = "h1";
    submission.number = 17;
    submission.service = "service";
    submission.arrivedAt = Now - Milliseconds(40);
    submission.callerDeadline = Now + Milliseconds(1400);
    submission.earlierRunsEndBy = Now + Milliseconds(900);
    submission.lostDispatcherRunsEndBy = Now + Milliseconds(1100);
    submission.crashes.push_back({0, 2, 3, 1, 2, true});
    submission.startedRuns = {5, 1ULL << 62U};
    frame.submissions.push_back(submission);
    frame.crashNotices.push_back({"00000000000000dd", {{1, 3, 2, 2, 0, false}}, 21});
    frame.longRuns.push_back({"00000000000000ac", Now + Milliseconds(950), 22});
    frame.startedRuns.push_back({"00000000000000ac", 23, {1, 1ULL << 63U}});
    frame.ended.push_back({"00000000000000bb", {JobEnd::NotRun, JobEndReason::BetterElsewhere, Seconds(2), "h2"}, 3, 16});
    frame.cancellations.push_back({"00000000000000cc", 18});
    frame.confirmedCancellations.push_back({"00000000000000ff", 19});
    frame.abandonedRuns.push_back("00000000000000ab");
    frame.cancelInquiries.push_back("00000000000000a1");
    frame.cancelAnnouncements.push_back({"00000000000000a2", Now + Seconds(15)});
    frame.cancelAnswers.push_back({"00000000000000a3", true, true});
    frame.cancelledJobs.push_back({"00000000000000a4", Now + Seconds(9)});
    frame.grant = JobGrant {3, Now + Milliseconds(700), 41, 8};
    frame.lostDispatchers.push_back({"h3", 9, Seconds(12), Now - Milliseconds(800), {{"a", 1}}, 55});
    frame.releases.push_back({"00000000000000ee", "h3#9", 20});
    return frame;
}
} // namespace

BOOST_AUTO_TEST_SUITE(FleetFrameSuite, *boost::unit_test::label("fleet"))

BOOST_AUTO_TEST_CASE(A_frame_keeps_its_content_between_hosts_whose_clocks_differ)
{
    const auto later = Now + std::chrono::hours(5);
    const auto frame = decodeFrame(encodeFrame(completeFrame(), Now), later);
    BOOST_REQUIRE(frame.has_value());
    BOOST_TEST(frame->host == "h1");
    BOOST_TEST(frame->report->claims.at(0).heldTargets.at(0) == "t1");
    BOOST_TEST(frame->submissions.at(0).request.steps.at(0).rackLocal);
    BOOST_TEST(frame->submissions.at(0).startedRuns == completeFrame().submissions.at(0).startedRuns);
    BOOST_TEST((frame->submissions.at(0).arrivedAt == later - Milliseconds(40)));
    BOOST_TEST((frame->submissions.at(0).callerDeadline == later + Milliseconds(1400)));
    BOOST_TEST((frame->submissions.at(0).earlierRunsEndBy == later + Milliseconds(900)));
    BOOST_TEST((frame->submissions.at(0).crashes == completeFrame().submissions.at(0).crashes));
    BOOST_TEST(frame->crashNotices.at(0).jobId == "00000000000000dd");
    BOOST_TEST((frame->crashNotices.at(0).crashes == completeFrame().crashNotices.at(0).crashes));
    BOOST_TEST(frame->crashNotices.at(0).number == 21);
    BOOST_REQUIRE(frame->longRuns.size() == 1);
    BOOST_TEST(frame->longRuns.front().jobId == "00000000000000ac");
    BOOST_TEST((frame->longRuns.front().endBy == later + Milliseconds(950)));
    BOOST_TEST(frame->longRuns.front().submissionNumber == 22);
    BOOST_REQUIRE(frame->startedRuns.size() == 1);
    BOOST_TEST(frame->startedRuns.front().jobId == "00000000000000ac");
    BOOST_TEST(frame->startedRuns.front().submissionNumber == 23);
    BOOST_TEST(frame->startedRuns.front().runs == completeFrame().startedRuns.front().runs);
    BOOST_TEST(frame->submissions.at(0).number == 17);
    BOOST_TEST(frame->ended.at(0).result.preferredDispatcher == "h2");
    BOOST_TEST(frame->ended.at(0).submissionNumber == 16);
    BOOST_REQUIRE(frame->cancellations.size() == 1);
    BOOST_TEST(frame->cancellations.front().jobId == "00000000000000cc");
    BOOST_TEST(frame->cancellations.front().submissionNumber == 18);
    BOOST_REQUIRE(frame->cancelInquiries.size() == 1);
    BOOST_TEST(frame->cancelInquiries.front() == "00000000000000a1");
    BOOST_REQUIRE(frame->cancelAnnouncements.size() == 1);
    BOOST_TEST(frame->cancelAnnouncements.front().jobId == "00000000000000a2");
    BOOST_TEST((frame->cancelAnnouncements.front().until == later + Seconds(15)));
    BOOST_REQUIRE(frame->cancelAnswers.size() == 1);
    BOOST_TEST(frame->cancelAnswers.front().jobId == "00000000000000a3");
    BOOST_TEST(frame->cancelAnswers.front().cancelled);
    BOOST_TEST(frame->cancelAnswers.front().isRemembered);
    BOOST_REQUIRE(frame->cancelledJobs.size() == 1);
    BOOST_TEST(frame->cancelledJobs.front().jobId == "00000000000000a4");
    BOOST_TEST((frame->cancelledJobs.front().until == later + Seconds(9)));
    BOOST_REQUIRE(frame->confirmedCancellations.size() == 1);
    BOOST_TEST(frame->confirmedCancellations.front().jobId == "00000000000000ff");
    BOOST_TEST(frame->confirmedCancellations.front().submissionNumber == 19);
    BOOST_REQUIRE(frame->abandonedRuns.size() == 1);
    BOOST_TEST(frame->abandonedRuns.front() == "00000000000000ab");
    BOOST_TEST((frame->submissions.at(0).lostDispatcherRunsEndBy == later + Milliseconds(1100)));
    // A grant counts on the recipient's clock.
    BOOST_TEST((frame->grant->until == Now + Milliseconds(700)));
    BOOST_TEST(frame->grant->confirmedClaims == 41);
    BOOST_TEST((frame->lostDispatchers.at(0).heardAt == later - Milliseconds(800)));
    BOOST_TEST((frame->lostDispatchers.at(0).pools.at(0) == PoolName {"a", 1}));
    BOOST_TEST(frame->releases.at(0).lostDispatcher == "h3#9");
    BOOST_TEST(frame->releases.at(0).submissionNumber == 20);
}

BOOST_AUTO_TEST_CASE(Bytes_that_are_not_a_valid_frame_are_rejected_without_a_crash)
{
    std::mt19937 random(11);
    const auto valid = encodeFrame(completeFrame(), Now);
    for (int iteration = 0; iteration < 20000; ++iteration) {
        auto bytes = valid;
        const auto changes = 1 + random() % 6;
        for (std::uint32_t change = 0; change < changes; ++change) {
            bytes[random() % bytes.size()] = static_cast<char>(random());
        }
        bytes.resize(random() % (bytes.size() + 1));
        decodeFrame(bytes, Now);
    }
    BOOST_TEST(!decodeFrame("", Now).has_value());
}

BOOST_AUTO_TEST_CASE(A_job_whose_step_does_not_depend_on_earlier_ones_only_is_dropped)
{
    auto frame = completeFrame();
    frame.submissions.at(0).request.steps.at(0).dependsOn = {0};
    BOOST_TEST(decodeFrame(encodeFrame(frame, Now), Now)->submissions.empty());
}

// Jobs of two queues with the same id were taken for one.
BOOST_AUTO_TEST_CASE(A_frame_names_the_route_of_each_job)
{
    const std::string key = "00000000000000aa@checks";
    auto sent = completeFrame();
    sent.submissions.front().request.id = key;
    sent.submissions.front().route = "checks";
    sent.crashNotices.front().jobId = key;
    sent.longRuns.front().jobId = key;
    sent.startedRuns.front().jobId = key;
    sent.ended.front().jobId = key;
    sent.cancellations.front().jobId = key;
    sent.confirmedCancellations.front().jobId = key;
    sent.releases.front().jobId = key;
    sent.cancelInquiries.front() = key;
    sent.cancelAnnouncements.front().jobId = key;
    sent.cancelAnswers.front().jobId = key;
    sent.cancelledJobs.front().jobId = key;
    const auto frame = decodeFrame(encodeFrame(sent, Now), Now);
    BOOST_REQUIRE(frame.has_value());
    BOOST_TEST(frame->submissions.front().request.id == key);
    BOOST_TEST(frame->crashNotices.front().jobId == key);
    BOOST_TEST(frame->longRuns.front().jobId == key);
    BOOST_TEST(frame->startedRuns.front().jobId == key);
    BOOST_TEST(frame->ended.front().jobId == key);
    BOOST_TEST(frame->cancellations.front().jobId == key);
    BOOST_TEST(frame->confirmedCancellations.front().jobId == key);
    BOOST_TEST(frame->releases.front().jobId == key);
    BOOST_TEST(frame->cancelInquiries.front() == key);
    BOOST_TEST(frame->cancelAnnouncements.front().jobId == key);
    BOOST_TEST(frame->cancelAnswers.front().jobId == key);
    BOOST_TEST(frame->cancelledJobs.front().jobId == key);
    // Hosts of earlier versions name a route beside a job that they know by its id alone.
    sent.submissions.front().request.id = "00000000000000aa";
    const auto earlier = decodeFrame(encodeFrame(sent, Now), Now);
    BOOST_TEST(earlier->submissions.front().request.id == "00000000000000aa");
}

BOOST_AUTO_TEST_SUITE_END()
