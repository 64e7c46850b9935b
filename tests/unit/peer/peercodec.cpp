#include "peer/peercodec.h"

#include <boost/test/unit_test.hpp>

#include <random>

using namespace Anvilcart;

namespace
{
PeerFrame makeFrame()
{
    PeerFrame frame;
    frame.incarnation = 11;
    frame.recipient = 12;
    frame.sequence = 3;
    frame.heartbeat = Heartbeat {"entry-1", "fraser", {"127.0.0.1", 7002}, "entry-2", 5, 9, true};
    frame.slots.demand = Demand {{{1, Milliseconds(-40)}, {300, Milliseconds(15000)}}, 8};
    frame.slots.loans.push_back({4, "target-1"});
    frame.slots.returns.push_back({2, true});
    return frame;
}
} // namespace

BOOST_AUTO_TEST_SUITE(PeerCodecSuite, *boost::unit_test::label("peer"))

BOOST_AUTO_TEST_CASE(A_decoded_frame_equals_the_encoded_one)
{
    const auto frame = decodeFrame(encode(makeFrame()));
    BOOST_REQUIRE(frame.has_value());
    BOOST_TEST(frame->incarnation == 11);
    BOOST_TEST(frame->recipient == 12);
    BOOST_TEST(frame->sequence == 3);
    BOOST_TEST(frame->heartbeat->host == "entry-1");
    BOOST_TEST(frame->heartbeat->leaving);
    BOOST_TEST((frame->heartbeat->endpoint == Endpoint {"127.0.0.1", 7002}));
    BOOST_TEST((frame->slots.demand->jobs == makeFrame().slots.demand->jobs));
    BOOST_TEST(frame->slots.demand->lastLoan == 8);
    BOOST_TEST(frame->slots.loans.at(0).target == "target-1");
    BOOST_TEST(frame->slots.returns.at(0).unused);
}

BOOST_AUTO_TEST_CASE(A_field_of_a_newer_release_is_ignored)
{
    const std::string newField = {'\xf8', '\x07', '\x01'};
    BOOST_TEST(decodeFrame(encode(makeFrame()) + newField).has_value());
}

BOOST_AUTO_TEST_CASE(A_frame_that_exceeds_a_limit_is_rejected)
{
    BOOST_TEST(!decodeFrame("").has_value());
    BOOST_TEST(!decodeFrame(std::string(MaxFrameBytes + 1, 'x')).has_value());
    auto frame = makeFrame();
    frame.slots.loans.assign(513, {1, "t"});
    BOOST_TEST(!decodeFrame(encode(frame)).has_value());
    frame = makeFrame();
    frame.heartbeat->host = std::string(256, 'h');
    BOOST_TEST(!decodeFrame(encode(frame)).has_value());
    frame = makeFrame();
    frame.slots.demand->jobs = {{0, Milliseconds(1)}};
    BOOST_TEST(!decodeFrame(encode(frame)).has_value());
}

BOOST_AUTO_TEST_CASE(Heartbeats_of_48_hosts_in_6_zones_stay_under_half_of_the_control_budget)
{
    constexpr double SameZonePeers = 7;
    constexpr double OtherZonePeers = 40;
    constexpr double SameZoneFramesPerSecond = 2;
    constexpr double OtherZoneFramesPerSecond = 0.1;
    constexpr double ControlBytesPerSecond = 5000;
    PeerFrame frame;
    frame.incarnation = ~0ULL;
    frame.recipient = ~0ULL;
    frame.sequence = 1'000'000;
    frame.heartbeat =
        Heartbeat {"entry-windhoek-north-1", "windhoek-north", {"10.100.100.100", 7002}, "entry-windhoek-north-2", 1000, 100, false};
    const auto otherZoneBytes = encode(frame).size();
    frame.slots.demand = Demand {{}, 100'000};
    frame.slots.holdings.emplace();
    const auto sameZoneBytes = encode(frame).size();
    const auto bytesPerSecond = SameZonePeers * SameZoneFramesPerSecond * static_cast<double>(sameZoneBytes)
        + OtherZonePeers * OtherZoneFramesPerSecond * static_cast<double>(otherZoneBytes);
    BOOST_TEST_MESSAGE("same zone " << sameZoneBytes << " bytes, other zones " << otherZoneBytes << " bytes, " << bytesPerSecond
                                    << " bytes a second");
    BOOST_TEST(bytesPerSecond < ControlBytesPerSecond / 2);
}

BOOST_AUTO_TEST_CASE(The_decoder_tolerates_random_bytes_and_corrupted_frames)
{
    constexpr std::uint32_t Seed = 20260;
    BOOST_TEST_MESSAGE("seed " << Seed);
    std::mt19937 random(Seed);
    const auto validBytes = encode(makeFrame());
    for (int i = 0; i < 20000; ++i) {
        std::string bytes = validBytes;
        if (i % 2 == 0) {
            bytes.resize(random() % 200);
            for (auto &byte : bytes) {
                byte = static_cast<char>(random());
            }
        } else {
            bytes[random() % bytes.size()] = static_cast<char>(random());
            bytes.resize(1 + random() % bytes.size());
        }
        if (const auto frame = decodeFrame(bytes)) {
            BOOST_TEST(frame->sequence != 0);
            BOOST_TEST(frame->slots.loans.size() <= 512);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
