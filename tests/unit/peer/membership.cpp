#include "peer/membership.h"

#include <boost/test/unit_test.hpp>

using namespace Anvilcart;

namespace
{
/// A membership of entry-1 in fraser with a hand-turned clock.
struct MembershipFixture
{
    MembershipFixture()
    {
        membership.applyHostList(listed, now);
        membership.onTick(now);
    }

    static PeerFrame makeHeartbeat(const std::string &host, Incarnation incarnation, std::uint64_t sequence)
    {
        PeerFrame frame;
        frame.incarnation = incarnation;
        frame.sequence = sequence;
        frame.heartbeat = Heartbeat {host, "fraser", {"10.0.0.2", 7002}, "entry-1", 1, 0, false};
        return frame;
    }

    /// Turns the clock; the hosts named are heard all along.
    void advance(Duration duration, const std::vector<std::string> &heard)
    {
        for (const auto end = now + duration; now < end;) {
            now += Milliseconds(100);
            for (const auto &host : heard) {
                ++sequence;
                membership.receive(makeHeartbeat(host, 100 + host.back(), sequence), now);
            }
            membership.onTick(now);
        }
    }

    std::vector<std::string> members() const
    {
        return membership.members(now);
    }

    using Names = std::vector<std::string>;

    std::vector<ListedPeer> listed = {{"entry-1", "fraser", {"10.0.0.1", 7002}},
                                      {"entry-2", "fraser", {"10.0.0.2", 7002}},
                                      {"entry-3", "fraser", {"10.0.0.3", 7002}},
                                      {"entry-9", "island", {"10.0.1.1", 7002}}};
    TimePoint now = TimePoint() + Seconds(1000);
    std::uint64_t sequence = 0;
    Membership membership {{"entry-1", "fraser", {"10.0.0.1", 7002}, 50}};
};
} // namespace

BOOST_FIXTURE_TEST_SUITE(MembershipSuite, MembershipFixture, *boost::unit_test::label("peer"))

BOOST_AUTO_TEST_CASE(Listed_hosts_of_the_zone_are_members_until_their_silence_contradicts_the_list)
{
    BOOST_TEST(members() == Names({"entry-1", "entry-2", "entry-3"}));
    advance(Seconds(2), {"entry-2"});
    BOOST_TEST((membership.state("entry-3", now) == PeerState::Suspected));
    BOOST_TEST(members() == Names({"entry-1", "entry-2", "entry-3"}));
    advance(Seconds(2), {"entry-2"});
    BOOST_TEST((membership.state("entry-3", now) == PeerState::Dead));
    BOOST_TEST(members() == Names({"entry-1", "entry-2"}));
    advance(Milliseconds(100), {"entry-2", "entry-3"});
    BOOST_TEST(members() == Names({"entry-1", "entry-2", "entry-3"}));
}

BOOST_AUTO_TEST_CASE(A_host_that_was_frozen_itself_does_not_declare_its_peers_dead)
{
    advance(Seconds(1), {"entry-2", "entry-3"});
    now += Seconds(60);
    membership.onTick(now);
    BOOST_TEST(members() == Names({"entry-1", "entry-2", "entry-3"}));
    advance(Seconds(4), {"entry-2"});
    BOOST_TEST(members() == Names({"entry-1", "entry-2"}));
}

BOOST_AUTO_TEST_CASE(A_zone_that_is_cut_off_from_the_platform_goes_on_with_the_hosts_it_hears)
{
    advance(Seconds(11), {"entry-2", "entry-4"});
    BOOST_TEST(members() == Names({"entry-1", "entry-2", "entry-4"}));
}

BOOST_AUTO_TEST_CASE(A_host_of_another_zone_is_not_dead_between_its_rare_heartbeats)
{
    advance(Seconds(12), {"entry-2"});
    BOOST_TEST((membership.state("entry-9", now) == PeerState::Live));
    BOOST_TEST((membership.state("entry-3", now) == PeerState::Dead));
}

BOOST_AUTO_TEST_CASE(A_fresh_list_decides_against_a_host_that_is_not_on_it)
{
    advance(Seconds(1), {"entry-2", "entry-4"});
    membership.applyHostList(listed, now);
    BOOST_TEST(members() == Names({"entry-1", "entry-2", "entry-3"}));
}

BOOST_AUTO_TEST_CASE(A_restart_on_the_same_address_is_a_new_incarnation)
{
    BOOST_TEST(!membership.receive(makeHeartbeat("entry-2", 200, 5), now).restarted);
    const auto receipt = membership.receive(makeHeartbeat("entry-2", 300, 1), now);
    BOOST_TEST((receipt.verdict == FrameVerdict::Accepted));
    BOOST_TEST(receipt.restarted);
    BOOST_TEST((membership.receive(makeHeartbeat("entry-2", 200, 6), now).verdict == FrameVerdict::Replayed));
}

BOOST_AUTO_TEST_CASE(A_host_that_says_it_leaves_is_no_member_until_it_starts_again)
{
    auto leaving = makeHeartbeat("entry-2", 200, 1);
    leaving.heartbeat->leaving = true;
    membership.receive(leaving, now);
    BOOST_TEST(members() == Names({"entry-1", "entry-3"}));
    membership.applyHostList(listed, now);
    BOOST_TEST(members() == Names({"entry-1", "entry-3"}));
    membership.receive(makeHeartbeat("entry-2", 300, 1), now);
    BOOST_TEST(members() == Names({"entry-1", "entry-2", "entry-3"}));
}

BOOST_AUTO_TEST_CASE(Replayed_foreign_and_unknown_frames_are_told_apart)
{
    const auto frame = makeHeartbeat("entry-2", 200, 5);
    BOOST_TEST((membership.receive(frame, now).verdict == FrameVerdict::Accepted));
    BOOST_TEST((membership.receive(frame, now).verdict == FrameVerdict::Replayed));
    auto foreign = makeHeartbeat("entry-2", 200, 6);
    foreign.heartbeat->recipient = "entry-7";
    BOOST_TEST((membership.receive(foreign, now).verdict == FrameVerdict::Foreign));
    PeerFrame unknown;
    unknown.incarnation = 999;
    unknown.recipient = 50;
    unknown.sequence = 1;
    BOOST_TEST((membership.receive(unknown, now).verdict == FrameVerdict::UnknownSender));
    unknown.recipient = 51;
    BOOST_TEST((membership.receive(unknown, now).verdict == FrameVerdict::Foreign));
    BOOST_TEST((membership.receive(makeHeartbeat("entry-3", 200, 9), now).verdict == FrameVerdict::UnknownSender));
}

BOOST_AUTO_TEST_SUITE_END()
