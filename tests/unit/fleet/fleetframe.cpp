#include "fleet/fleetframe.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace Anvilcart;
using namespace Anvilcart::Fleet;

namespace
{
constexpr TimePoint Now {std::chrono::hours(1)};

FleetFrame wholeFrame()
{
    FleetFrame frame;
    frame.host = "h1";
    frame.incarnation = 7;
    HostReport report;
    report.zone = "a";
    report.peerDoor = {"127.0.0.1", 7000};
    report.period = Milliseconds(200);
    report.claims.push_back({{"a", 1}, 12, true, {"t1"}, 3});
    report.loads.push_back({"service", 2, 5, Milliseconds(30)});
    frame.report = report;
    JobSubmission order;
    order.request.id = "00000000000000aa";
    order.request.steps.push_back({});
    order.request.steps.back().taskCount = 3;
    order.entryHost = "h1";
    order.service = "service";
    order.arrivedAt = Now - Milliseconds(40);
    order.callerDeadline = Now + Milliseconds(1400);
    order.earlierRunsEndBy = Now + Milliseconds(900);
    frame.submits.push_back(order);
    frame.ended.push_back({"00000000000000bb", {JobEnd::NotRun, JobEndReason::BetterElsewhere, Seconds(2), "h2"}});
    frame.cancels.emplace_back("00000000000000cc");
    return frame;
}
} // namespace

BOOST_AUTO_TEST_SUITE(FleetFrameSuite, *boost::unit_test::label("fleet"))

BOOST_AUTO_TEST_CASE(A_frame_survives_the_way_between_hosts_whose_clocks_differ)
{
    const auto later = Now + std::chrono::hours(5);
    const auto frame = decodeFrame(encodeFrame(wholeFrame(), Now), later);
    BOOST_REQUIRE(frame.has_value());
    BOOST_TEST(frame->host == "h1");
    BOOST_TEST(frame->report->claims.at(0).heldTargets.at(0) == "t1");
    BOOST_TEST((frame->submits.at(0).arrivedAt == later - Milliseconds(40)));
    BOOST_TEST((frame->submits.at(0).callerDeadline == later + Milliseconds(1400)));
    BOOST_TEST((frame->submits.at(0).earlierRunsEndBy == later + Milliseconds(900)));
    BOOST_TEST(frame->ended.at(0).result.preferredDispatcher == "h2");
    BOOST_TEST(frame->cancels.size() == 1);
}

BOOST_AUTO_TEST_CASE(Bytes_that_are_no_frame_are_refused_and_never_crash)
{
    std::mt19937 random(11);
    const auto sound = encodeFrame(wholeFrame(), Now);
    for (int round = 0; round < 20000; ++round) {
        auto bytes = sound;
        const auto changes = 1 + random() % 6;
        for (std::uint32_t change = 0; change < changes; ++change) {
            bytes[random() % bytes.size()] = static_cast<char>(random());
        }
        bytes.resize(random() % (bytes.size() + 1));
        decodeFrame(bytes, Now);
    }
    BOOST_TEST(!decodeFrame("", Now).has_value());
}

BOOST_AUTO_TEST_CASE(A_job_whose_steps_depend_on_later_ones_is_dropped)
{
    auto frame = wholeFrame();
    frame.submits.at(0).request.steps.at(0).dependsOn = {0};
    BOOST_TEST(decodeFrame(encodeFrame(frame, Now), Now)->submits.empty());
}

BOOST_AUTO_TEST_SUITE_END()
