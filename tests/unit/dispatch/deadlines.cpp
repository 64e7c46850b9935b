#include "dispatchfixture.h"

#include <boost/test/unit_test.hpp>

using namespace Anvilcart;

namespace
{
/// A host with two slots that has learned a run time of 100 ms.
class DeadlineFixture : public DispatchFixture
{
public:
    DeadlineFixture()
    {
        configure(1, 2);
        for (int i = 0; i < 20; ++i) {
            submit(makeJob("learn" + std::to_string(i), 1));
            now += Milliseconds(100);
            finish(port.started.size() - 1);
        }
        answers.clear();
    }

    static JobSpec makeJobDue(const std::string &submission, std::uint32_t tasks, Milliseconds deadline)
    {
        auto job = makeJob(submission, tasks);
        job.deadline = deadline;
        return job;
    }
};
} // namespace

BOOST_FIXTURE_TEST_SUITE(DeadlinesSuite, DeadlineFixture, *boost::unit_test::label("dispatch"))

BOOST_AUTO_TEST_CASE(A_job_that_cannot_meet_its_deadline_behind_the_queue_is_refused_with_the_missing_time_as_retry_delay)
{
    submit(makeJob("running", 2));
    submit(makeJob("ahead", 40));
    submit(makeJobDue("late", 50, Milliseconds(3000)));
    BOOST_REQUIRE_EQUAL(answers.size(), 1);
    BOOST_TEST((answers[0].code == ResultCode::DeadlineUnreachable));
    // 40 tasks ahead and 50 tasks of its own take 4500 ms on two slots.
    BOOST_TEST(answers[0].retryAfter.count() >= 1490);
    BOOST_TEST(answers[0].retryAfter.count() <= 1510);
}

BOOST_AUTO_TEST_CASE(A_small_job_that_overtakes_the_queue_is_admitted)
{
    submit(makeJob("running", 2));
    submit(makeJob("ahead", 40));
    submit(makeJobDue("small", 1, Milliseconds(300)));
    BOOST_TEST(answers.empty());
}

BOOST_AUTO_TEST_CASE(A_task_that_is_longer_than_the_deadline_is_refused_at_once)
{
    submit(makeJobDue("short", 1, Milliseconds(50)));
    BOOST_TEST((answers.at(0).code == ResultCode::DeadlineUnreachable));
    BOOST_TEST(answers[0].retryAfter.count() == 0);
    BOOST_TEST(port.started.size() == 20);
}

BOOST_AUTO_TEST_CASE(A_declared_run_time_that_is_far_too_high_refuses_no_job_of_an_unlearned_kind)
{
    DispatchFixture fresh;
    fresh.configure(1, 2);
    auto job = makeJobDue("new", 1, Milliseconds(1000));
    job.tasks[0].declaredRunTime = Milliseconds(20000);
    fresh.submit(job);
    BOOST_TEST(fresh.answers.empty());
    BOOST_TEST(fresh.port.started.size() == 1);
}

BOOST_AUTO_TEST_CASE(A_waiting_job_that_can_no_longer_meet_its_deadline_is_abandoned_before_it)
{
    submit(makeJob("running", 2));
    submit(makeJobDue("late", 1, Milliseconds(500)));
    advance(Milliseconds(399));
    BOOST_TEST(answers.empty());
    advance(Milliseconds(6));
    BOOST_REQUIRE_EQUAL(answers.size(), 1);
    BOOST_TEST((answers[0].code == ResultCode::DeadlineUnreachable));
    BOOST_TEST(answers[0].retryAfter.count() > 0);
}

BOOST_AUTO_TEST_CASE(An_abandoned_job_with_a_started_task_is_answered_as_may_have_run)
{
    submit(makeJob("running", 1));
    submit(makeJobDue("late", 2, Milliseconds(500)));
    advance(Milliseconds(405));
    BOOST_TEST((answers.at(0).code == ResultCode::DeadlineExceeded));
    BOOST_TEST(port.stopped.size() == 1);
}

BOOST_AUTO_TEST_CASE(The_retry_delay_of_a_failed_job_is_the_time_that_the_queue_needs)
{
    submit(makeJob("running", 2));
    submit(makeJob("ahead", 40));
    submit(makeJob("cancelled", 3));
    dispatcher.cancel("cancelled", now);
    BOOST_TEST(answers.at(0).retryAfter.count() >= 1990);
    BOOST_TEST(answers.at(0).retryAfter.count() <= 2010);
}

BOOST_AUTO_TEST_CASE(The_task_that_is_expected_to_take_longest_starts_first)
{
    DispatchFixture fresh;
    fresh.configure(1, 1);
    auto job = makeJob("mixed", 3);
    job.tasks[1].declaredRunTime = Milliseconds(900);
    fresh.submit(job);
    BOOST_TEST(fresh.port.started.at(0).start.task == "t1");
}

BOOST_AUTO_TEST_SUITE_END()
