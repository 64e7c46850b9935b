#include "fleet/hostnode.h"

#include "hostnodefixture.h"

#include <boost/test/unit_test.hpp>

using namespace Anvilcart;
using namespace Anvilcart::Fleet;

namespace
{
struct EvacuatedHostFixture : HostNodeFixture
{
    /// A report of a host that dispatches to the pool of a zone.
    static FleetFrame reportOfPool(const std::string &host, std::uint16_t lastByte, const std::string &zone)
    {
        auto frame = report(host, lastByte, true, zone);
        frame.report->claims.front().pool.zone = zone;
        return frame;
    }

    /// The host that got the last submission of a job; empty when there is none.
    std::string lastSubmissionTo() const
    {
        std::string address;
        for (const auto &[endpoint, frame] : port.frames) {
            address = frame.submissions.empty() ? address : endpoint.address;
        }
        return address;
    }

    void listTargetsOfZones(const std::vector<std::string> &zones)
    {
        std::map<std::string, TargetEntry> entries;
        for (const auto &zone : zones) {
            auto &entry = entries["t" + zone];
            entry.id = "t" + zone;
            entry.service = "service";
            entry.zone = zone;
            entry.capacity = {32000, 100000, 0};
            entry.startedAtMs = 1;
        }
        node.onTargetList(entries, true, now);
    }
};
} // namespace

BOOST_FIXTURE_TEST_SUITE(HostEvacuationSuite, EvacuatedHostFixture, *boost::unit_test::label("fleet"))

BOOST_AUTO_TEST_CASE(A_job_is_not_sent_to_a_dispatcher_of_an_evacuated_zone)
{
    node.onFrame(reportOfPool("h2", 2, "a"), now);
    node.onFrame(reportOfPool("h3", 3, "b"), now);
    node.submit(job("before"), now);
    BOOST_TEST(lastSubmissionTo() == "10.0.0.2");
    node.onEvacuations({{1, {"a"}}, now}, now);
    node.submit(job("during"), now);
    BOOST_TEST(lastSubmissionTo() == "10.0.0.3");
    BOOST_TEST(observer.evacuations.back() == "a begun store");
}

BOOST_AUTO_TEST_CASE(A_job_that_a_dispatcher_returns_is_submitted_to_another_one)
{
    // The dispatcher of the pool of all zones is alone able to say that nothing but evacuated targets fit.
    node.onFrame(report("h2", 2, true), now);
    node.submit(job("j"), now);
    BOOST_TEST(lastSubmissionTo() == "10.0.0.2");
    FleetFrame frame;
    frame.host = "h2";
    frame.incarnation = 2;
    JobEndNotice notice;
    notice.jobId = "j";
    notice.result = {JobEnd::Abandoned, JobEndReason::Evacuated, Seconds(1), {}};
    frame.ended.push_back(notice);
    node.onFrame(frame, now);
    advance(Milliseconds(50));
    BOOST_TEST(port.answers.empty());
    node.onFrame(report("h3", 3, true), now);
    advance(Milliseconds(50));
    BOOST_TEST(lastSubmissionTo() == "10.0.0.3");
}

// Guards against jobs that two dispatchers send back and forth because one of them does not know of the evacuation yet.
BOOST_AUTO_TEST_CASE(A_redirection_into_an_evacuated_zone_is_not_followed)
{
    node.onFrame(reportOfPool("h2", 2, "b"), now);
    node.submit(job("j"), now);
    BOOST_TEST(lastSubmissionTo() == "10.0.0.2");
    node.onFrame(reportOfPool("h3", 3, "a"), now);
    node.onFrame(reportOfPool("h4", 4, "c"), now);
    node.onEvacuations({1, {"a"}}, now);
    FleetFrame frame;
    frame.host = "h2";
    frame.incarnation = 2;
    JobEndNotice notice;
    notice.jobId = "j";
    notice.result = {JobEnd::NotRun, JobEndReason::BetterElsewhere, Seconds(1), "h3"};
    frame.ended.push_back(notice);
    node.onFrame(frame, now);
    advance(Milliseconds(100));
    BOOST_TEST(lastSubmissionTo() != "10.0.0.3");
    BOOST_TEST(!lastSubmissionTo().empty());
}

BOOST_AUTO_TEST_CASE(While_all_zones_are_evacuated_jobs_are_refused_at_once)
{
    listTargetsOfZones({"a", "b"});
    node.onFrame(report("h2", 2, true), now);
    node.onEvacuations({{1, {"a", "b"}}, now}, now);
    node.submit(job("j"), now);
    BOOST_REQUIRE(port.answers.contains("j"));
    BOOST_TEST((port.answers["j"].answer == CallerAnswer::NotRun));
    BOOST_TEST(port.answers["j"].reason == "evacuated");
}

BOOST_AUTO_TEST_CASE(A_job_whose_label_only_evacuated_targets_have_is_refused_at_once)
{
    std::map<std::string, TargetEntry> entries;
    for (const std::string zone : {"a", "b"}) {
        auto &entry = entries["t" + zone];
        entry.id = "t" + zone;
        entry.service = "service";
        entry.zone = zone;
        entry.labels = {"only-" + zone};
        entry.capacity = {32000, 100000, 0};
    }
    node.onTargetList(entries, true, now);
    node.onFrame(report("h2", 2, true), now);
    node.onEvacuations({{1, {"a"}}, now}, now);
    for (const std::string zone : {"a", "b"}) {
        auto submission = job("needs " + zone);
        submission.request.steps.front().requiredLabel = "only-" + zone;
        node.submit(submission, now);
    }
    BOOST_TEST(port.answers["needs a"].reason == "evacuated");
    BOOST_TEST(!port.answers.contains("needs b"));
}

// Guards against a host that serves on by an old state because it cannot read the store.
BOOST_AUTO_TEST_CASE(A_host_that_cannot_read_the_store_learns_of_an_evacuation_from_a_peer_and_passes_it_on)
{
    node.onEvacuations({{4, {}}, now}, now);
    node.onEvacuationsLost(now);
    auto frame = reportOfPool("h2", 2, "a");
    frame.report->evacuation = EvacuationView {5, {"a"}};
    node.onFrame(frame, now);
    BOOST_TEST(observer.evacuations.back() == "a begun peer");
    advance(Seconds(1));
    const auto sent = std::find_if(port.frames.rbegin(), port.frames.rend(), [](const auto &entry) {
        return entry.second.report.has_value();
    });
    BOOST_REQUIRE(sent != port.frames.rend());
    BOOST_TEST((sent->second.report->evacuation == EvacuationView {5, {"a"}}));
}

BOOST_AUTO_TEST_CASE(A_dispatcher_stays_the_owner_of_its_evacuated_pool)
{
    claimTarget("t1");
    node.onEvacuations({{1, {"a"}}, now}, now);
    advance(Seconds(3));
    BOOST_TEST(node.isDispatcher());
    BOOST_TEST(node.scheduler().ownsTarget("t1"));
}

// A host of an earlier version would drop the result, and its caller would wait for its deadline.
BOOST_AUTO_TEST_CASE(An_entry_host_of_an_earlier_version_gets_a_reason_that_it_knows)
{
    claimTarget("t1");
    node.onEvacuations({{1, {"a"}}, now}, now);
    for (const bool knowsEvacuations : {false, true}) {
        auto frame = report("h2", 2, false);
        frame.report->evacuation = knowsEvacuations ? std::optional(EvacuationView()) : std::nullopt;
        auto submission = job(knowsEvacuations ? "new" : "old");
        submission.entryHost = "h2";
        frame.submissions.push_back(submission);
        node.onFrame(frame, now);
        const auto &sent = port.frames.back().second;
        BOOST_REQUIRE(sent.ended.size() == 1);
        BOOST_TEST((sent.ended.front().result.reason == (knowsEvacuations ? JobEndReason::Evacuated : JobEndReason::NoTargets)));
    }
}

/// A host whose settings have a bound, after a restart: it has read the list of targets, but not the operator's topic.
struct RestartedHostFixture : HostNodeFixture
{
    RestartedHostFixture()
        : HostNodeFixture(false, Seconds(5))
    {
        claimTarget("t1");
        node.submit(job("j"), now);
        advance(Milliseconds(100));
    }
};

// Guards against starts by a host that has not learned of an evacuation yet.
BOOST_FIXTURE_TEST_CASE(A_restarted_host_starts_nothing_before_it_knows_the_evacuations, RestartedHostFixture)
{
    BOOST_TEST(port.starts.empty());
    node.onEvacuationsLost(now);
    advance(Milliseconds(100));
    BOOST_TEST(port.starts.empty());
    node.onEvacuations({3, {"b"}}, now);
    BOOST_TEST(port.starts.size() == 1U);
}

BOOST_FIXTURE_TEST_CASE(A_restarted_host_without_the_store_goes_by_what_a_peer_knows, RestartedHostFixture)
{
    node.onEvacuationsLost(now);
    auto frame = report("h2", 2, false);
    frame.report->evacuation = EvacuationView {3, {"a"}};
    node.onFrame(frame, now);
    advance(Milliseconds(100));
    BOOST_TEST(port.starts.empty());
    BOOST_TEST(port.answers["j"].reason == "evacuated");
}

// Guards against starts by what the process knew before it stood still.
BOOST_FIXTURE_TEST_CASE(After_a_pause_nothing_starts_before_the_state_is_confirmed, RestartedHostFixture)
{
    node.onEvacuations({3, {}}, now);
    now += Seconds(6);
    node.tick(now);
    answerRenewal("t1", {});
    const auto before = port.starts.size();
    node.submit(job("after"), now);
    advance(Milliseconds(100));
    BOOST_TEST(port.starts.size() == before);
    node.onEvacuations({4, {"a"}}, now);
    advance(Milliseconds(100));
    BOOST_TEST(port.starts.size() == before);
    BOOST_TEST(port.answers["after"].reason == "evacuated");
}

BOOST_AUTO_TEST_SUITE_END()
