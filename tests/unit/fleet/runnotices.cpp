#include "fleet/runnotices.h"
#include "hostnodefixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>

using namespace Anvilcart;
using namespace Anvilcart::Fleet;

namespace
{
/// A dispatcher with one target, and another host h2.
struct TwoDispatchersFixture : HostNodeFixture
{
    TwoDispatchersFixture()
    {
        claimTarget("t1");
        node.onFrame(report("h2", 2, false), now);
    }

    /// How many frames to h2 name the job.
    std::ptrdiff_t noticeCount(const std::string &jobId) const
    {
        return std::count_if(port.frames.begin(), port.frames.end(), [&](const auto &sent) {
            const auto &runs = sent.second.abandonedRuns;
            return sent.first.address == "10.0.0.2" && std::find(runs.begin(), runs.end(), jobId) != runs.end();
        });
    }

    FleetFrame frameFromPeer() const
    {
        FleetFrame frame;
        frame.host = "h2";
        frame.incarnation = 2;
        return frame;
    }

    /// Submits a job that can't be completed in time.
    void submitInfeasible(const std::string &id)
    {
        auto infeasible = job(id);
        infeasible.callerDeadline = now + Milliseconds(1);
        node.submit(infeasible, now);
    }
};

/// An entry host whose only dispatcher is h2.
struct RemoteDispatcherFixture : HostNodeFixture
{
    RemoteDispatcherFixture()
    {
        node.onFrame(report("h2", 2, true), now);
    }

    /// The dispatcher reports that the job is completed.
    void complete(const std::string &id)
    {
        FleetFrame frame;
        frame.host = "h2";
        frame.incarnation = 2;
        JobEndNotice notice;
        notice.jobId = id;
        notice.result.end = JobEnd::Completed;
        frame.ended.push_back(notice);
        node.onFrame(frame, now);
    }

    /// How many frames name the job.
    std::ptrdiff_t noticeCount(const std::string &jobId) const
    {
        return std::count_if(port.frames.begin(), port.frames.end(), [&](const auto &sent) {
            const auto &runs = sent.second.abandonedRuns;
            return std::find(runs.begin(), runs.end(), jobId) != runs.end();
        });
    }
};
} // namespace

BOOST_AUTO_TEST_SUITE(RunNoticesSuite, *boost::unit_test::label("fleet"))

// Issue 48, fault-series 45007 and 45083: a job ran, the connection of its caller broke, and another dispatcher refused it as not run.
BOOST_FIXTURE_TEST_CASE(A_job_that_ran_at_another_dispatcher_is_not_refused_as_not_run, TwoDispatchersFixture)
{
    auto frame = frameFromPeer();
    frame.abandonedRuns.push_back("ran");
    node.onFrame(frame, now);
    submitInfeasible("ran");
    submitInfeasible("fresh");
    BOOST_REQUIRE(port.answers.contains("ran"));
    BOOST_TEST((port.answers["ran"].answer == CallerAnswer::Unknown));
    BOOST_REQUIRE(port.answers.contains("fresh"));
    BOOST_TEST((port.answers["fresh"].answer == CallerAnswer::NotRun));
}

BOOST_FIXTURE_TEST_CASE(All_hosts_hear_of_a_job_that_is_cancelled_after_its_start, TwoDispatchersFixture)
{
    node.submit(job("j"), now);
    BOOST_REQUIRE(port.starts.size() == 1);
    node.cancel("j", now);
    advance(Milliseconds(25));
    BOOST_TEST(noticeCount("j") == 1);
}

BOOST_FIXTURE_TEST_CASE(All_hosts_hear_of_a_job_that_another_entry_host_cancels_after_its_start, TwoDispatchersFixture)
{
    auto frame = frameFromPeer();
    frame.submissions.push_back(job("j"));
    frame.submissions.back().entryHost = "h2";
    frame.submissions.back().number = 5;
    node.onFrame(frame, now);
    BOOST_REQUIRE(port.starts.size() == 1);
    auto cancellation = frameFromPeer();
    cancellation.cancellations.push_back({"j", 5});
    node.onFrame(cancellation, now);
    advance(Milliseconds(25));
    BOOST_TEST(noticeCount("j") == 1);
}

BOOST_FIXTURE_TEST_CASE(A_lost_frame_does_not_keep_a_host_from_hearing_of_a_run, TwoDispatchersFixture)
{
    node.submit(job("j"), now);
    port.acceptsFrames = false;
    node.cancel("j", now);
    advance(Milliseconds(300));
    port.acceptsFrames = true;
    node.onFrame(report("h2", 2, false), now);
    advance(Milliseconds(300));
    BOOST_TEST(noticeCount("j") >= 1);
}

BOOST_FIXTURE_TEST_CASE(Hosts_are_not_told_of_a_job_that_is_cancelled_before_its_start, TwoDispatchersFixture)
{
    auto frame = frameFromPeer();
    frame.cancellations.push_back({"j", 5});
    node.onFrame(frame, now);
    advance(Seconds(1));
    BOOST_TEST(noticeCount("j") == 0);
}

BOOST_FIXTURE_TEST_CASE(A_host_does_not_name_a_job_that_ran_elsewhere_alone, TwoDispatchersFixture)
{
    auto frame = frameFromPeer();
    frame.abandonedRuns.push_back("ran");
    node.onFrame(frame, now);
    submitInfeasible("ran");
    advance(Seconds(1));
    BOOST_TEST(noticeCount("ran") == 0);
}

BOOST_AUTO_TEST_CASE(A_job_is_named_a_limited_number_of_times)
{
    RunNotices notices;
    notices.add("j");
    auto now = TimePoint(Seconds(10));
    int named = 0;
    for (int round = 0; round < 20; ++round, now += Milliseconds(100)) {
        named += static_cast<int>(notices.takeDue(Milliseconds(200), now).size());
    }
    BOOST_TEST(named == 4);
}

// late-reads 51016: a job was completed after the connection of its caller had closed, and another dispatcher refused it as not run.
BOOST_FIXTURE_TEST_CASE(All_hosts_hear_of_a_job_that_is_completed_after_its_caller_has_gone, RemoteDispatcherFixture)
{
    node.submit(job("j"), now);
    port.disconnectedCallers.insert("j");
    complete("j");
    advance(Milliseconds(25));
    BOOST_TEST(noticeCount("j") == 1);
}

BOOST_FIXTURE_TEST_CASE(All_hosts_hear_of_a_job_that_is_completed_before_its_cancellation_arrives, RemoteDispatcherFixture)
{
    node.submit(job("j"), now);
    node.cancel("j", now);
    complete("j");
    advance(Milliseconds(25));
    BOOST_TEST(noticeCount("j") == 1);
}

BOOST_FIXTURE_TEST_CASE(A_job_whose_caller_gets_its_result_is_not_named, RemoteDispatcherFixture)
{
    node.submit(job("j"), now);
    complete("j");
    advance(Milliseconds(25));
    BOOST_TEST(noticeCount("j") == 0);
}

// fault-series 3077 with connections: a host stood still while a run was named, and refused the job as not run after it had woken.
BOOST_FIXTURE_TEST_CASE(A_host_that_comes_back_hears_of_the_runs_that_were_named_meanwhile, TwoDispatchersFixture)
{
    node.submit(job("j"), now);
    advance(Seconds(1));
    node.cancel("j", now);
    advance(Seconds(1));
    BOOST_REQUIRE(noticeCount("j") == 0);
    port.acceptsFrames = false;
    node.onFrame(report("h2", 2, false), now);
    advance(Milliseconds(100));
    port.acceptsFrames = true;
    for (int part = 0; part < 10; ++part) {
        node.onFrame(report("h2", 2, false), now);
        advance(Milliseconds(100));
    }
    BOOST_TEST(noticeCount("j") == 1);
}

BOOST_FIXTURE_TEST_CASE(A_host_that_comes_back_is_not_told_of_old_runs, TwoDispatchersFixture)
{
    node.submit(job("j"), now);
    advance(Seconds(1));
    node.cancel("j", now);
    advance(Seconds(17));
    node.onFrame(report("h2", 2, false), now);
    advance(Milliseconds(100));
    BOOST_TEST(noticeCount("j") == 0);
}

BOOST_AUTO_TEST_SUITE_END()
