#include "scheduling/recentjobs.h"

#include <boost/test/unit_test.hpp>

using namespace Anvilcart;
using namespace Anvilcart::Fleet;

BOOST_AUTO_TEST_SUITE(RecentJobsSuite, *boost::unit_test::label("scheduling"))

BOOST_AUTO_TEST_CASE(Jobs_are_remembered_for_as_long_as_their_callers_wait_and_then_forgotten)
{
    constexpr TimePoint Begin {std::chrono::hours(1)};
    RecentJobs jobs;
    jobs.record("first", Begin);
    jobs.record("second", Begin + Seconds(14));
    jobs.record("third", Begin + Seconds(16));
    BOOST_TEST(jobs.contains("first"));
    BOOST_TEST(jobs.contains("third"));
    jobs.record("fourth", Begin + Seconds(32));
    BOOST_TEST(!jobs.contains("first"));
    BOOST_TEST(jobs.contains("third"));
    BOOST_TEST(jobs.size() == 2);
}

BOOST_AUTO_TEST_CASE(While_jobs_may_be_missing_every_job_may_have_run)
{
    constexpr TimePoint Begin {std::chrono::hours(1)};
    RecentJobs jobs;
    BOOST_TEST(!jobs.mayContain("unknown", Begin));
    jobs.markIncomplete(Begin);
    BOOST_TEST(jobs.mayContain("unknown", Begin + Seconds(14)));
    BOOST_TEST(!jobs.contains("unknown"));
    BOOST_TEST(!jobs.mayContain("unknown", Begin + Seconds(16)));
}

BOOST_AUTO_TEST_SUITE_END()
