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
    frame.submissions.push_back(submission);
    frame.crashNotices.push_back({"00000000000000dd", {{1, 3, 2, 2, 0, false}}, 21});
    frame.longRuns.push_back({"00000000000000ac", Now + Milliseconds(950), 22});
    frame.ended.push_back({"00000000000000bb", {JobEnd::NotRun, JobEndReason::BetterElsewhere, Seconds(2), "h2"}, 3, 16});
    frame.cancellations.push_back({"00000000000000cc", 18});
    frame.confirmedCancellations.push_back({"00000000000000ff", 19});
    frame.abandonedRuns.push_back("00000000000000ab");
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
    BOOST_TEST(frame->submissions.at(0).number == 17);
    BOOST_TEST(frame->ended.at(0).result.preferredDispatcher == "h2");
    BOOST_TEST(frame->ended.at(0).submissionNumber == 16);
    BOOST_REQUIRE(frame->cancellations.size() == 1);
    BOOST_TEST(frame->cancellations.front().jobId == "00000000000000cc");
    BOOST_TEST(frame->cancellations.front().submissionNumber == 18);
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

BOOST_AUTO_TEST_SUITE_END()
