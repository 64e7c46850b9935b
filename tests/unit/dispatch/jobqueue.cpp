#include "dispatchfixture.h"

#include <boost/test/unit_test.hpp>

using namespace Anvilcart;

BOOST_FIXTURE_TEST_SUITE(JobQueueSuite, DispatchFixture, *boost::unit_test::label("dispatch"))

BOOST_AUTO_TEST_CASE(A_large_job_is_not_overtaken_by_jobs_that_arrive_much_later)
{
    configure(1, 1);
    submit(makeJob("running", 1));
    submit(makeJob("large", 100));
    advance(Milliseconds(4900));
    submit(makeJob("before", 1));
    advance(Milliseconds(100));
    submit(makeJob("after", 1));
    finish(0);
    BOOST_TEST(port.started.at(1).start.submission == "before");
    finish(1);
    BOOST_TEST(port.started.at(2).start.submission == "large");
}

BOOST_AUTO_TEST_CASE(Jobs_without_a_free_target_do_not_block_the_jobs_behind_them)
{
    configure(1, 2);
    for (int i = 0; i < 50; ++i) {
        auto job = makeJob("wide" + std::to_string(i), 1);
        job.tasks[0].size.cpus = 32;
        submit(job);
    }
    BOOST_TEST(dispatcher.queue().unstartedTasks() == 48);
    BOOST_TEST(dispatcher.queue().smallestJob() == 1);
    for (std::size_t i = 0; i < 50; ++i) {
        finish(i);
    }
    BOOST_TEST(answers.size() == 50);
    BOOST_TEST(dispatcher.queue().smallestJob() == 0);
    BOOST_TEST(dispatcher.queue().work().count() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
