#include "hostnodefixture.h"
#include "workload/jobkey.h"

#include <boost/test/unit_test.hpp>

using namespace Anvilcart;
using namespace Anvilcart::Fleet;

namespace
{
/// An entry host that is its own dispatcher, with one target.
struct TwoRoutesFixture : HostNodeFixture
{
    TwoRoutesFixture()
    {
        claimTarget("t1");
    }

    JobSubmission jobOf(const std::string &route) const
    {
        auto submission = job(makeJobKey("j", route));
        submission.route = route;
        submission.request.payload = route;
        return submission;
    }

    /// The only run ends with success.
    void complete(std::uint64_t position)
    {
        const auto name = port.starts.back().second.name;
        answerRenewal("t1", {}, {{position, name, RunEnd::Done}});
        advance(Milliseconds(50));
    }
};
} // namespace

BOOST_AUTO_TEST_SUITE(JobKeysSuite, *boost::unit_test::label("fleet"))

BOOST_AUTO_TEST_CASE(A_key_holds_the_id_and_the_route)
{
    const auto key = makeJobKey("00000000000000aa", "checks@night");
    BOOST_TEST(jobIdOf(key) == "00000000000000aa");
    BOOST_TEST(routeOf(key) == "checks@night");
    BOOST_TEST(makeJobKey("j", "") == "j");
    BOOST_TEST(routeOf("j") == "");
    BOOST_TEST(mayBeSameJob("j", key) == false);
    BOOST_TEST(mayBeSameJob("j", "j@a"));
    BOOST_TEST(!mayBeSameJob("j@b", "j@a"));
}

// review/7: the second caller got the result of the first one's job.
BOOST_FIXTURE_TEST_CASE(Jobs_of_two_routes_with_one_id_run_one_after_the_other_and_each_gets_its_own_result, TwoRoutesFixture)
{
    node.submit(jobOf("a"), now);
    node.submit(jobOf("b"), now);
    advance(Milliseconds(50));
    BOOST_REQUIRE(port.starts.size() == 1U);
    BOOST_TEST(port.starts.back().second.name.task.jobId == "j");
    BOOST_TEST(port.starts.back().second.payload == "a");
    complete(1);
    BOOST_TEST((port.answers.at("j@a").answer == CallerAnswer::Completed));
    BOOST_TEST(!port.answers.contains("j@b"));
    BOOST_REQUIRE(port.starts.size() == 2U);
    BOOST_TEST(port.starts.back().second.payload == "b");
    complete(2);
    BOOST_TEST((port.answers.at("j@b").answer == CallerAnswer::Completed));
}

BOOST_FIXTURE_TEST_CASE(A_cancellation_concerns_the_job_of_its_route_only, TwoRoutesFixture)
{
    node.submit(jobOf("a"), now);
    node.submit(jobOf("b"), now);
    node.requestCancel("j@b", now);
    BOOST_TEST((port.answers.at("j@b").answer == CallerAnswer::Cancelled));
    BOOST_TEST(!port.answers.contains("j@a"));
    BOOST_TEST(port.stops.empty());
    complete(1);
    BOOST_TEST((port.answers.at("j@a").answer == CallerAnswer::Completed));
    BOOST_TEST(port.starts.size() == 1U);
    BOOST_TEST(node.isIdle());
}

// The scheduler takes a submission with a lower number for an old copy, and repeats the result.
BOOST_FIXTURE_TEST_CASE(A_late_submission_of_one_route_does_not_get_the_result_of_another, TwoRoutesFixture)
{
    node.onFrame(report("h2", 2, false), now);
    const auto submit = [this](const std::string &route, std::uint64_t number) {
        FleetFrame frame;
        frame.host = "h2";
        frame.incarnation = 2;
        frame.submissions.push_back(jobOf(route));
        frame.submissions.back().entryHost = "h2";
        frame.submissions.back().number = number;
        node.onFrame(frame, now);
    };
    submit("a", 8);
    complete(1);
    submit("b", 7);
    advance(Milliseconds(50));
    BOOST_REQUIRE(port.starts.size() == 2U);
    BOOST_TEST(port.starts.back().second.payload == "b");
}

// The submission would wait until its caller's deadline at a dispatcher that ends.
BOOST_FIXTURE_TEST_CASE(A_dispatcher_that_stops_gives_back_a_job_that_waits_for_another_with_its_id, TwoRoutesFixture)
{
    node.onFrame(report("h2", 2, false), now);
    FleetFrame frame;
    frame.host = "h2";
    frame.incarnation = 2;
    for (const auto *route : {"a", "b"}) {
        frame.submissions.push_back(jobOf(route));
        frame.submissions.back().entryHost = "h2";
        frame.submissions.back().number = frame.submissions.size();
    }
    node.onFrame(frame, now);
    BOOST_REQUIRE(port.starts.size() == 1U);
    BOOST_TEST(node.scheduler().jobCount() == 2U);
    node.abandonRemainingJobs(now);
    BOOST_TEST(node.scheduler().jobCount() == 1U);
    std::vector<std::string> ended;
    for (const auto &[endpoint, sent] : port.frames) {
        for (const auto &notice : sent.ended) {
            ended.push_back(notice.jobId);
        }
    }
    BOOST_TEST(ended == std::vector<std::string> {"j@b"}, boost::test_tools::per_element());
}

// Hosts of earlier versions name jobs by their ids alone.
BOOST_FIXTURE_TEST_CASE(Messages_of_earlier_versions_concern_the_job_with_their_id, HostNodeFixture)
{
    node.onFrame(report("h2", 2, true), now);
    auto submission = job("j@a");
    submission.route = "a";
    node.submit(submission, now);
    FleetFrame result;
    result.host = "h2";
    result.incarnation = 2;
    result.ended.push_back({"j", {JobEnd::Completed, JobEndReason::AllTasksDone, Duration(0), {}}, 0, 0});
    node.onFrame(result, now);
    BOOST_TEST((port.answers.at("j@a").answer == CallerAnswer::Completed));
    submission.request.id = "k@a";
    node.submit(submission, now);
    FleetFrame inquiry;
    inquiry.host = "h2";
    inquiry.incarnation = 2;
    inquiry.cancelInquiries.push_back("k");
    node.onFrame(inquiry, now);
    BOOST_TEST((port.answers.at("k@a").answer == CallerAnswer::Cancelled));
}

BOOST_AUTO_TEST_SUITE_END()
