#include "fleet/startannouncements.h"
#include "lostdispatcherfixture.h"
#include "workload/jobkey.h"

#include <boost/test/unit_test.hpp>

using namespace Anvilcart;
using namespace Anvilcart::Fleet;

namespace
{
constexpr RunIdentity FirstRun = 11;
constexpr RunIdentity SecondRun = 12;

/// A dispatcher with one target, and the entry host h2.
struct AnnouncingDispatcherFixture : HostNodeFixture
{
    AnnouncingDispatcherFixture()
    {
        claimTarget("t1");
        node.onFrame(report("h2", 2, false), now);
        port.frames.clear();
    }

    void submit(const std::string &key, std::uint64_t number)
    {
        FleetFrame frame;
        frame.host = "h2";
        frame.incarnation = 2;
        frame.submissions.push_back(job(key));
        frame.submissions.back().entryHost = "h2";
        frame.submissions.back().number = number;
        node.onFrame(frame, now);
    }

    /// What was announced to h2.
    std::vector<StartedRunsNotice> announced() const
    {
        std::vector<StartedRunsNotice> notices;
        for (const auto &[endpoint, frame] : port.frames) {
            notices.insert(notices.end(), frame.startedRuns.begin(), frame.startedRuns.end());
        }
        return notices;
    }
};

/// The job "j" is at the dispatcher h2, whose pool this host takes over.
struct AnnouncedRunsFixture : LostDispatcherFixture
{
    void announce(RunIdentity run, std::uint64_t number, const std::string &host = "h2", std::uint64_t incarnation = 2)
    {
        FleetFrame frame;
        frame.host = host;
        frame.incarnation = incarnation;
        frame.startedRuns.push_back({"j", number, {run}});
        node.onFrame(frame, now);
    }

    /// This host claims the target of h2, which runs the job's task.
    void takeOverWithRun()
    {
        listTargets({"t1"});
        advance(Milliseconds(800));
        answerRenewal("t1", {{FoundRun, 10}});
    }

    static inline const RunName FoundRun {{"j", 0, 0, 0}, 1};
};
} // namespace

BOOST_AUTO_TEST_SUITE(StartAnnouncementsSuite, *boost::unit_test::label("fleet"))

BOOST_FIXTURE_TEST_CASE(A_dispatcher_announces_a_run_to_its_entry_host_once, AnnouncingDispatcherFixture)
{
    submit("j@route", 7);
    BOOST_REQUIRE(port.starts.size() == 1U);
    advance(Milliseconds(500));
    const auto notices = announced();
    BOOST_REQUIRE(notices.size() == 1U);
    BOOST_TEST(notices.front().jobId == "j@route");
    BOOST_TEST(notices.front().submissionNumber == 7U);
    const std::vector<RunIdentity> expected {identityOf(port.starts.front().second.name, "t1", 1)};
    BOOST_TEST(notices.front().runs == expected);
}

// No host can adopt the runs of a job that has ended, so that short jobs cost no bytes.
BOOST_FIXTURE_TEST_CASE(A_dispatcher_announces_no_run_of_a_job_that_has_ended, AnnouncingDispatcherFixture)
{
    submit("j@route", 7);
    BOOST_REQUIRE(port.starts.size() == 1U);
    answerRenewal("t1", {}, {{1, port.starts.front().second.name, RunEnd::Done}});
    advance(Milliseconds(500));
    BOOST_TEST(announced().empty());
}

BOOST_FIXTURE_TEST_CASE(An_entry_host_names_the_runs_of_a_job_to_its_next_dispatcher, AnnouncedRunsFixture)
{
    announce(identityOf(FoundRun, "t1", 1), lastSubmission().number);
    takeOverWithRun();
    advance(Milliseconds(100));
    BOOST_TEST(port.stops.empty());
    answerRenewal("t1", {}, {{1, FoundRun, RunEnd::Done}});
    BOOST_TEST((port.answers.at("j").answer == CallerAnswer::Completed));
    BOOST_TEST(port.starts.empty());
}

// Without the dispatcher's word the run may be that of another queue's job with the id.
BOOST_FIXTURE_TEST_CASE(A_job_is_not_completed_by_a_run_that_its_lost_dispatcher_did_not_announce, AnnouncedRunsFixture)
{
    takeOverWithRun();
    advance(Milliseconds(100));
    answerRenewal("t1", {}, {{1, FoundRun, RunEnd::Done}});
    BOOST_TEST(!port.answers.contains("j"));
    advance(Milliseconds(1500));
    BOOST_REQUIRE(!port.starts.empty());
}

// A late frame, or one of another host, says nothing of the runs of the present submission.
BOOST_FIXTURE_TEST_CASE(Announcements_of_other_submissions_and_hosts_do_not_count, AnnouncedRunsFixture)
{
    const auto number = lastSubmission().number;
    announce(identityOf(FoundRun, "t1", 1), number - 1);
    node.onFrame(report("h3", 3, false), now);
    announce(identityOf(FoundRun, "t1", 1), number, "h3", 3);
    takeOverWithRun();
    advance(Milliseconds(100));
    answerRenewal("t1", {}, {{1, FoundRun, RunEnd::Done}});
    BOOST_TEST(!port.answers.contains("j"));
}

// A host that announces without end must not fill the memory of the entry host.
BOOST_FIXTURE_TEST_CASE(An_entry_host_keeps_a_bounded_number_of_runs_of_a_job, AnnouncedRunsFixture)
{
    for (RunIdentity run = 1; run <= 1000; ++run) {
        announce(run, lastSubmission().number);
    }
    announce(identityOf(FoundRun, "t1", 1), lastSubmission().number);
    auto other = report("h3", 3, true);
    node.onFrame(other, now);
    for (int round = 0; round < 30 && lastSubmission().startedRuns.empty(); ++round) {
        advance(Milliseconds(100));
        node.onFrame(other, now);
    }
    BOOST_TEST(lastSubmission().startedRuns.size() == 4U);
    BOOST_TEST(lastSubmission().startedRuns.back() == identityOf(FoundRun, "t1", 1));
}

BOOST_AUTO_TEST_CASE(Announcements_of_a_job_that_was_submitted_again_name_its_new_runs_only)
{
    StartAnnouncements announcements;
    JobSubmission submission;
    submission.request.id = "j@a";
    submission.entryHost = "h2";
    submission.number = 1;
    announcements.add(submission, FirstRun);
    submission.number = 2;
    announcements.add(submission, SecondRun);
    const auto notices = announcements.take("h2");
    BOOST_REQUIRE(notices.size() == 1U);
    BOOST_TEST(notices.front().submissionNumber == 2U);
    BOOST_TEST(notices.front().runs == std::vector<RunIdentity> {SecondRun}, boost::test_tools::per_element());
    BOOST_TEST(announcements.size() == 0U);
}

BOOST_AUTO_TEST_CASE(Announcements_of_an_ended_job_are_dropped)
{
    StartAnnouncements announcements;
    JobSubmission submission;
    submission.request.id = "j@a";
    submission.entryHost = "h2";
    announcements.add(submission, FirstRun);
    announcements.remove(submission);
    BOOST_TEST(announcements.size() == 0U);
    BOOST_TEST(announcements.take("h2").empty());
}

BOOST_AUTO_TEST_SUITE_END()
