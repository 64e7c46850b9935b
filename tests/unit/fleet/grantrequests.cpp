#include "hostnodefixture.h"
#include "scheduling/heldgrants.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <string>

using namespace Anvilcart;
using namespace Anvilcart::Fleet;

namespace
{
/// Callers send a job again this long after they have lost its entry host.
constexpr Milliseconds CallersComeAgainAfter {1300};

/// An entry host of a large fleet, whose reports to other zones are further apart than grants last. The dispatcher h2 is in another zone.
struct LargeFleetFixture : HostNodeFixture
{
    static constexpr std::uint16_t HostCount = 147;

    explicit LargeFleetFixture(bool isPeerDispatcher = true)
        : hasDispatcherAsPeer(isPeerDispatcher)
    {
        // Reports of all hosts arrive in turn, since the first ones change the periods.
        for (int round = 0; round < 3; ++round) {
            sendReports();
            advance(Milliseconds(500));
        }
        sendReports();
    }

    void sendReports()
    {
        for (std::uint16_t number = 3; number <= HostCount; ++number) {
            auto frame = report("h" + std::to_string(number), number, false, "c");
            frame.report->period = Milliseconds(600);
            frame.sentAt = now - Begin;
            node.onFrame(frame, now);
        }
        auto frame = report("h2", 2, hasDispatcherAsPeer, "b");
        frame.report->period = Milliseconds(600);
        if (asksForGrants) {
            frame.report->longestRunAfterGrant = LongestRunAfterGrant;
        }
        frame.sentAt = now - Begin;
        node.onFrame(frame, now);
    }

    /// Delivers a frame of h2, which it has sent now and which asks for a grant.
    void requestGrant()
    {
        FleetFrame frame;
        frame.host = "h2";
        frame.incarnation = 2;
        frame.sentAt = now - Begin;
        frame.requestsGrant = true;
        node.onFrame(frame, now);
    }

    std::size_t requestsTo(const std::string &address) const
    {
        return static_cast<std::size_t>(std::count_if(port.frames.begin(), port.frames.end(), [&](const auto &sent) {
            return sent.first.address == address && sent.second.requestsGrant;
        }));
    }

    std::size_t framesTo(const std::string &address) const
    {
        return static_cast<std::size_t>(std::count_if(port.frames.begin(), port.frames.end(), [&](const auto &sent) {
            return sent.first.address == address;
        }));
    }

    const JobGrant &lastGrantToDispatcher() const
    {
        const auto last = std::find_if(port.frames.rbegin(), port.frames.rend(), [](const auto &sent) {
            return sent.first.address == "10.0.0.2" && sent.second.grant;
        });
        return *last->second.grant;
    }

    bool hasDispatcherAsPeer;
    bool asksForGrants = true;
};

/// The same without another dispatcher, so that this host claims the targets.
struct LargeFleetDispatcherFixture : LargeFleetFixture
{
    LargeFleetDispatcherFixture()
        : LargeFleetFixture(false)
    {
    }
};
} // namespace

BOOST_FIXTURE_TEST_SUITE(GrantRequestsSuite, LargeFleetFixture, *boost::unit_test::label("fleet"))

// Issue 48: on 147 hosts a grant lasted 2.5 s, so that callers came again first.
BOOST_AUTO_TEST_CASE(In_a_large_fleet_too_a_grant_ends_before_callers_come_again)
{
    node.submit(job("j"), now);
    BOOST_TEST((lastGrantToDispatcher().until + LongestRunAfterGrant < now - Begin + TimePoint() + CallersComeAgainAfter));
}

BOOST_AUTO_TEST_CASE(A_dispatcher_that_asks_for_a_grant_gets_it_at_once)
{
    node.submit(job("j"), now);
    advance(Milliseconds(100));
    port.frames.clear();
    requestGrant();
    BOOST_TEST(framesTo("10.0.0.2") == 1);
    BOOST_TEST((lastGrantToDispatcher().until == now - Begin + TimePoint() + Milliseconds(900)));
}

BOOST_FIXTURE_TEST_CASE(A_dispatcher_asks_the_entry_hosts_of_its_jobs_for_grants, LargeFleetDispatcherFixture)
{
    claimTarget("t1");
    sendReports();
    FleetFrame frame;
    frame.host = "h9";
    frame.incarnation = 9;
    frame.sentAt = now - Begin;
    frame.grant = JobGrant {1, now + Milliseconds(900), 100, 1};
    auto submission = job("k");
    submission.entryHost = "h9";
    frame.submissions.push_back(submission);
    node.onFrame(frame, now);
    BOOST_REQUIRE(port.starts.size() == 1);
    port.frames.clear();
    frame.submissions.clear();
    for (int part = 0; part < 10; ++part) {
        advance(Milliseconds(50));
        frame.sentAt = now - Begin;
        frame.grant->until = now + Milliseconds(900);
        node.onFrame(frame, now);
    }
    BOOST_TEST(requestsTo("10.0.0.9") >= 2);
    BOOST_TEST(requestsTo("10.0.0.10") == 0);
    BOOST_TEST(framesTo("10.0.0.10") <= 1);
}

// Results, confirmations and answers to the entry host do not bring a grant back.
BOOST_FIXTURE_TEST_CASE(A_dispatcher_that_sends_other_frames_all_the_time_still_asks_for_grants, LargeFleetDispatcherFixture)
{
    claimTarget("t1");
    sendReports();
    FleetFrame frame;
    frame.host = "h9";
    frame.incarnation = 9;
    frame.sentAt = now - Begin;
    frame.grant = JobGrant {1, now + Milliseconds(900), 100, 1};
    auto submission = job("k");
    submission.entryHost = "h9";
    frame.submissions.push_back(submission);
    node.onFrame(frame, now);
    BOOST_REQUIRE(port.starts.size() == 1);
    port.frames.clear();
    frame.submissions.clear();
    frame.cancellations.push_back({"cancelled before", 1});
    for (int part = 0; part < 10; ++part) {
        advance(Milliseconds(50));
        frame.sentAt = now - Begin;
        frame.grant->until = now + Milliseconds(900);
        node.onFrame(frame, now);
    }
    BOOST_REQUIRE(framesTo("10.0.0.9") >= 10);
    BOOST_TEST(requestsTo("10.0.0.9") >= 2);
}

BOOST_AUTO_TEST_CASE(A_dispatcher_of_an_earlier_version_has_grants_that_outlast_its_reports)
{
    asksForGrants = false;
    sendReports();
    node.submit(job("j"), now);
    BOOST_TEST((lastGrantToDispatcher().until > now - Begin + TimePoint() + Seconds(2)));
}

BOOST_AUTO_TEST_SUITE_END()
