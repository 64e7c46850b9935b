#include "fleet/startupclaims.h"
#include "hostnodefixture.h"

#include <boost/test/unit_test.hpp>

using namespace Anvilcart;
using namespace Anvilcart::Fleet;

namespace
{
constexpr TimePoint StartTime {std::chrono::hours(1)};
const PoolName Pool {"a", 0};

HostReport report(const std::string &zone, bool claims)
{
    HostReport result;
    result.host = "h2";
    result.incarnation = 2;
    result.zone = zone;
    if (claims) {
        result.claims.push_back({Pool, 1, false, {}, 0});
    }
    return result;
}

StartupClaims started()
{
    StartupClaims startup;
    startup.begin(StartTime);
    return startup;
}

/// The fixture's host with another one that dispatches and has not echoed a frame of it yet.
FleetFrame unprovenReport()
{
    auto frame = HostNodeFixture::report("h2", 2, true);
    frame.echo = FrameEcho();
    return frame;
}
} // namespace

BOOST_AUTO_TEST_SUITE(StartupClaimsSuite, *boost::unit_test::label("fleet"))

// A host that had started 0.44 s after the first one claimed the pools of a peer whose claim it had not been able to see yet.
BOOST_AUTO_TEST_CASE(A_host_does_not_claim_the_pool_of_a_peer_that_is_not_proven_yet)
{
    HostNodeFixture fixture;
    fixture.listTargets({"t1"});
    fixture.advance(Milliseconds(300));
    fixture.node.onFrame(unprovenReport(), fixture.now);
    fixture.advance(Milliseconds(350));
    BOOST_TEST(!fixture.node.isDispatcher());
    auto proven = unprovenReport();
    proven.echo = FrameEcho {1, fixture.now.time_since_epoch()};
    fixture.node.onFrame(proven, fixture.now);
    fixture.advance(Milliseconds(400));
    BOOST_TEST(!fixture.node.isDispatcher());
}

// The last frames of a process that has ended must not keep its pool without a dispatcher.
BOOST_AUTO_TEST_CASE(A_peer_that_is_never_proven_prevents_a_claim_for_a_bounded_time)
{
    HostNodeFixture fixture;
    fixture.listTargets({"t1"});
    for (int count = 0; count < 9; ++count) {
        fixture.node.onFrame(unprovenReport(), fixture.now);
        fixture.advance(Milliseconds(100));
    }
    BOOST_TEST(fixture.node.isDispatcher());
}

BOOST_AUTO_TEST_CASE(A_peer_whose_connection_has_closed_prevents_no_claim)
{
    HostNodeFixture fixture;
    fixture.listTargets({"t1"});
    fixture.node.onFrame(unprovenReport(), fixture.now);
    fixture.node.onLinkClosed("h2", 2, fixture.now);
    fixture.advance(Milliseconds(500));
    BOOST_TEST(fixture.node.isDispatcher());
}

// Hosts that start within one round trip would otherwise claim the same pool, since neither sees the other.
BOOST_AUTO_TEST_CASE(Unproven_hosts_of_the_zone_and_unproven_claims_count)
{
    const auto mayClaim = [](const HostReport &unproven) {
        auto startup = started();
        startup.onUnprovenReport(unproven, StartTime + Milliseconds(300));
        return startup.mayClaim(Pool, StartTime + Milliseconds(500));
    };
    BOOST_TEST(!mayClaim(report("a", false)));
    BOOST_TEST(!mayClaim(report("b", true)));
    BOOST_TEST(mayClaim(report("b", false)));
    auto leaving = report("a", false);
    leaving.leaving = true;
    BOOST_TEST(mayClaim(leaving));
}

// A late host to which a pool falls kept it without a dispatcher for 0.4 s, although it had heard all others at once.
BOOST_AUTO_TEST_CASE(A_host_that_has_heard_all_others_waits_less)
{
    auto startup = started();
    BOOST_TEST(!startup.mayClaim(Pool, StartTime + Milliseconds(300)));
    startup.setViewComplete(true);
    BOOST_TEST(!startup.mayClaim(Pool, StartTime + Milliseconds(50)));
    BOOST_TEST(startup.mayClaim(Pool, StartTime + Milliseconds(150)));
    startup.setViewComplete(false);
    BOOST_TEST(!startup.mayClaim(Pool, StartTime + Milliseconds(300)));
    BOOST_TEST(startup.mayClaim(Pool, StartTime + Milliseconds(400)));
}

// A process that stands still after its start wakes with reports that it has not read.
BOOST_AUTO_TEST_CASE(The_time_for_which_a_host_stands_still_does_not_count)
{
    auto startup = started();
    startup.onPause(Milliseconds(600), StartTime + Milliseconds(700));
    BOOST_TEST(!startup.mayClaim(Pool, StartTime + Milliseconds(700)));
    BOOST_TEST(startup.mayClaim(Pool, StartTime + Milliseconds(1000)));
}

BOOST_AUTO_TEST_SUITE_END()
