#include "fleet/rememberedcancellations.h"
#include "hostnodefixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <set>

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

/// A host with one target on which it runs the job "j" for a caller that waits here. The hosts h2 and h3 are live.
struct RunningJobFixture : HostNodeFixture
{
    RunningJobFixture()
    {
        claimTarget("t1");
        sendReports({"h2", "h3"});
        node.submit(job("j"), now);
        BOOST_REQUIRE(port.starts.size() == 1U);
    }

    static std::uint16_t numberOf(const std::string &host)
    {
        return host == "h2" ? 2 : 3;
    }

    void sendReports(const std::vector<std::string> &hosts)
    {
        for (const auto &host : hosts) {
            auto frame = report(host, numberOf(host), false);
            frame.sentAt = now - Begin;
            node.onFrame(frame, now);
        }
    }

    FleetFrame frameOf(const std::string &host) const
    {
        FleetFrame frame;
        frame.host = host;
        frame.incarnation = numberOf(host);
        frame.sentAt = now - Begin;
        return frame;
    }

    void ask(const std::string &host, const std::string &jobId)
    {
        auto frame = frameOf(host);
        frame.cancelInquiries.push_back(jobId);
        node.onFrame(frame, now);
    }

    void confirm(const std::string &host, const std::string &jobId)
    {
        auto frame = frameOf(host);
        frame.cancelAnswers.push_back({jobId, true, true});
        node.onFrame(frame, now);
    }

    /// The answers that were sent to a host, by job.
    std::map<std::string, bool> answersTo(const std::string &host) const
    {
        std::map<std::string, bool> answers;
        for (const auto &[endpoint, frame] : port.frames) {
            for (const auto &answer : frame.cancelAnswers) {
                if (endpoint.address == "10.0.0." + std::to_string(numberOf(host))) {
                    answers[answer.jobId] = answer.cancelled;
                }
            }
        }
        return answers;
    }

    /// The hosts that were told of a cancelled job and asked to confirm it.
    std::set<std::string> hostsTold(const std::string &jobId) const
    {
        std::set<std::string> hosts;
        for (const auto &[endpoint, frame] : port.frames) {
            for (const auto &cancelled : frame.cancelAnnouncements) {
                if (cancelled.jobId == jobId) {
                    hosts.insert(endpoint.address);
                }
            }
        }
        return hosts;
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

// review/8: the caller was answered 504, sent the job again after 1.3 s, and the job ran.
BOOST_FIXTURE_TEST_CASE(A_cancelled_job_is_not_started_when_its_caller_sends_it_again, RunningJobFixture)
{
    node.requestCancel("j", now);
    BOOST_TEST((port.answers.at("j").answer == CallerAnswer::Cancelled));
    BOOST_TEST(port.stops.size() == 1U);
    for (int attempt = 0; attempt < 10; ++attempt) {
        advance(Milliseconds(1300));
        port.answers.clear();
        node.submit(job("j"), now);
        BOOST_TEST((port.answers.at("j").answer == CallerAnswer::Cancelled));
        BOOST_TEST(!node.hasWaitingCaller("j"));
    }
    BOOST_TEST(port.starts.size() == 1U);
    advance(Seconds(3));
    node.submit(job("j"), now);
    BOOST_TEST(node.hasWaitingCaller("j"));
}

// The host that acknowledged the cancellation may be lost before the job comes again over another one.
BOOST_FIXTURE_TEST_CASE(A_cancellation_is_acknowledged_when_all_live_hosts_remember_it, RunningJobFixture)
{
    node.requestCancel("j", now);
    BOOST_TEST(hostsTold("j").size() == 2U);
    confirm("h2", "j");
    BOOST_TEST(port.cancels.empty());
    confirm("h3", "j");
    BOOST_TEST((port.cancels.at("j") == CancelOutcome::Cancelled));
}

BOOST_FIXTURE_TEST_CASE(A_host_that_asks_for_a_cancellation_is_answered_when_all_other_live_hosts_remember_it, RunningJobFixture)
{
    ask("h2", "j");
    BOOST_TEST((port.answers.at("j").answer == CallerAnswer::Cancelled));
    BOOST_TEST(hostsTold("j").size() == 1U);
    BOOST_TEST(answersTo("h2").empty());
    confirm("h3", "j");
    BOOST_TEST(answersTo("h2").at("j"));
}

// A live host that has not confirmed may yet start the job; a lost one is told when it is back.
BOOST_FIXTURE_TEST_CASE(A_cancellation_that_a_live_host_does_not_confirm_is_undecided, RunningJobFixture)
{
    node.requestCancel("j", now);
    confirm("h2", "j");
    for (int period = 0; period < 4; ++period) {
        advance(Milliseconds(200));
        sendReports({"h2", "h3"});
    }
    BOOST_TEST((port.cancels.at("j") == CancelOutcome::Undecided));
    node.requestCancel("j", now);
    confirm("h2", "j");
    port.cancels.clear();
    for (int period = 0; period < 4; ++period) {
        advance(Milliseconds(200));
        sendReports({"h2"});
    }
    BOOST_TEST((port.cancels.at("j") == CancelOutcome::Cancelled));
    const auto sentBefore = port.frames.size();
    sendReports({"h3"});
    BOOST_TEST(std::any_of(port.frames.begin() + static_cast<std::ptrdiff_t>(sentBefore), port.frames.end(), [](const auto &sent) {
        return sent.first.address == "10.0.0.3" && sent.second.report && sent.second.cancelledJobs.size() == 1;
    }));
}

BOOST_FIXTURE_TEST_CASE(A_host_that_is_told_of_a_cancelled_job_remembers_it, RunningJobFixture)
{
    auto frame = frameOf("h2");
    frame.cancelAnnouncements.push_back({"j", now + Seconds(15)});
    frame.cancelledJobs.push_back({"k", now + Seconds(10)});
    node.onFrame(frame, now);
    BOOST_TEST(answersTo("h2").at("j"));
    BOOST_TEST((port.answers.at("j").answer == CallerAnswer::Cancelled));
    node.submit(job("k"), now);
    BOOST_TEST((port.answers.at("k").answer == CallerAnswer::Cancelled));
    // A job that a host knows to be cancelled is not denied.
    ask("h3", "k");
    confirm("h2", "k");
    BOOST_TEST(answersTo("h3").at("k"));
    BOOST_TEST(port.starts.size() == 1U);
}

// An entry host that has just started may accept the job before it hears of the cancellation.
BOOST_FIXTURE_TEST_CASE(A_dispatcher_starts_no_cancelled_job_for_an_entry_host_that_does_not_know, RunningJobFixture)
{
    auto notice = frameOf("h3");
    notice.cancelledJobs.push_back({"k", now + Seconds(10)});
    node.onFrame(notice, now);
    auto frame = frameOf("h2");
    frame.submissions.push_back(job("k"));
    frame.submissions.front().entryHost = "h2";
    frame.submissions.front().number = 7;
    node.onFrame(frame, now);
    BOOST_TEST(port.starts.size() == 1U);
    BOOST_TEST(node.scheduler().jobCount() == 1U);
    BOOST_TEST(std::any_of(port.frames.begin(), port.frames.end(), [](const auto &sent) {
        return sent.first.address == "10.0.0.2" && !sent.second.cancelledJobs.empty() && sent.second.cancelledJobs.front().jobId == "k";
    }));
}

// Cancellations of a host under load must not take its memory, nor be forgotten after they were acknowledged.
BOOST_AUTO_TEST_CASE(A_job_for_which_there_is_no_room_is_not_taken_for_a_cancelled_one)
{
    const TimePoint begin = HostNodeFixture::Begin;
    RememberedCancellations jobs;
    std::size_t added = 0;
    while (jobs.add("job" + std::to_string(added), begin + Seconds(15), begin)) {
        ++added;
    }
    BOOST_TEST(added == jobs.size());
    BOOST_TEST(added < 100000U);
    BOOST_TEST(jobs.contains("job0", begin + Seconds(14)));
    BOOST_TEST(!jobs.contains("job" + std::to_string(added), begin));
    BOOST_TEST(jobs.add("job0", begin + Seconds(15), begin));
    BOOST_TEST(jobs.add("later", begin + Seconds(30), begin + Seconds(15)));
    BOOST_TEST(jobs.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
