#include "hostnodefixture.h"

#include <boost/test/unit_test.hpp>

using namespace Anvilcart;
using namespace Anvilcart::Fleet;

namespace
{
const Endpoint UnheardEndpoint {"10.0.0.3", 7000};

/// A host that has just started and has heard of h2, which knows another endpoint.
struct StartedHostFixture : HostNodeFixture
{
    StartedHostFixture()
    {
        sendReport();
    }

    void sendReport()
    {
        auto frame = report("h2", 2, false);
        frame.sentAt = now - Begin;
        frame.knownEndpoints.push_back(UnheardEndpoint);
        node.onFrame(frame, now);
    }

    /// Advances the clock while h2 reports and goes on naming the endpoint.
    void advanceWithReports(Duration time)
    {
        for (const auto end = now + time; now < end;) {
            advance(Milliseconds(200));
            sendReport();
        }
    }

    void deny(const std::string &host, std::uint64_t incarnation, const std::string &jobId)
    {
        FleetFrame frame;
        frame.host = host;
        frame.incarnation = incarnation;
        frame.sentAt = now - Begin;
        frame.cancelAnswers.push_back({jobId, false});
        node.onFrame(frame, now);
    }

    /// The outcome of a request to cancel a job that h2 does not have.
    CancelOutcome outcomeOf(const std::string &jobId)
    {
        node.requestCancel(jobId, now);
        deny("h2", 2, jobId);
        return port.cancels.at(jobId);
    }
};
} // namespace

BOOST_AUTO_TEST_SUITE(CancellationsSuite, *boost::unit_test::label("fleet"))

// review/9: a host that had just started answered 410 for a job that waited at a host of which it had not heard yet.
BOOST_FIXTURE_TEST_CASE(A_host_denies_no_job_before_it_has_heard_from_every_endpoint_that_it_knows, StartedHostFixture)
{
    BOOST_TEST((outcomeOf("before") == CancelOutcome::Undecided));
    node.onFrame(report("h3", 3, false), now);
    node.requestCancel("after", now);
    deny("h2", 2, "after");
    BOOST_TEST(!port.cancels.contains("after"));
    deny("h3", 3, "after");
    BOOST_TEST((port.cancels.at("after") == CancelOutcome::NoSuchJob));
}

// The hosts that a peer knows are among those that may have the job.
BOOST_FIXTURE_TEST_CASE(A_host_denies_no_job_before_its_peers_have_listed_their_endpoints, HostNodeFixture)
{
    auto frame = report("h2", 2, false);
    frame.knownEndpoints.clear();
    node.onFrame(frame, now);
    node.requestCancel("j", now);
    FleetFrame answer;
    answer.host = "h2";
    answer.incarnation = 2;
    answer.cancelAnswers.push_back({"j", false});
    node.onFrame(answer, now);
    BOOST_TEST((port.cancels.at("j") == CancelOutcome::Undecided));
}

// A stale seed would make every cancellation undecided for ever.
BOOST_FIXTURE_TEST_CASE(An_endpoint_that_refuses_connections_has_no_job, StartedHostFixture)
{
    port.refusingEndpoints.insert(toString(UnheardEndpoint));
    BOOST_TEST((outcomeOf("j") == CancelOutcome::NoSuchJob));
}

// An endpoint is removed when it has been silent for long, and is added again when a peer names it.
BOOST_FIXTURE_TEST_CASE(An_endpoint_that_stays_silent_ceases_to_count_although_peers_name_it, StartedHostFixture)
{
    advanceWithReports(Seconds(15));
    BOOST_TEST((outcomeOf("early") == CancelOutcome::Undecided));
    advanceWithReports(Seconds(10));
    BOOST_TEST((outcomeOf("late") == CancelOutcome::NoSuchJob));
    advanceWithReports(Seconds(30));
    BOOST_TEST((outcomeOf("later") == CancelOutcome::NoSuchJob));
}

// A host with seeds that hears nobody may be cut off from all others.
BOOST_AUTO_TEST_CASE(A_host_that_has_heard_nobody_yet_denies_no_job)
{
    auto identity = HostNodeFixture::identity(false);
    identity.seeds.push_back({"10.0.0.2", 7000});
    FakeHostPort port;
    FakeHostObserver observer;
    HostNode node(identity, port, observer);
    port.refusingEndpoints.insert("10.0.0.2:7000");
    node.tick(HostNodeFixture::Begin);
    node.requestCancel("j", HostNodeFixture::Begin);
    node.tick(HostNodeFixture::Begin + Milliseconds(25));
    BOOST_TEST((port.cancels.at("j") == CancelOutcome::Undecided));
}

BOOST_AUTO_TEST_SUITE_END()
