#include "dispatchfixture.h"

#include <boost/test/unit_test.hpp>

using namespace Anvilcart;

BOOST_FIXTURE_TEST_SUITE(DispatcherSuite, DispatchFixture, *boost::unit_test::label("dispatch"))

BOOST_AUTO_TEST_CASE(A_job_is_answered_once_and_whole_when_its_last_task_finishes)
{
    configure(2, 4);
    submit(makeJob("a", 3));
    BOOST_REQUIRE_EQUAL(port.started.size(), 3);
    finish(2);
    finish(0);
    BOOST_TEST(answers.empty());
    finish(1);
    BOOST_REQUIRE_EQUAL(answers.size(), 1);
    BOOST_TEST((answers[0].code == ResultCode::Complete));
    BOOST_REQUIRE_EQUAL(answers[0].results.size(), 3);
    for (std::size_t i = 0; i < 3; ++i) {
        BOOST_TEST(answers[0].results[i].output == "a/t" + std::to_string(i));
    }
    BOOST_TEST(dispatcher.isIdle());
}

BOOST_AUTO_TEST_CASE(A_task_whose_outcome_is_lost_is_never_sent_again)
{
    configure(2, 4);
    submit(makeJob("a", 1));
    report(0, TaskLost {"cut"});
    advance(Seconds(20));
    BOOST_TEST(port.started.size() == 1);
    BOOST_REQUIRE_EQUAL(answers.size(), 1);
    BOOST_TEST((answers[0].code == ResultCode::TaskOutcomeUnknown));
    BOOST_TEST(!isNotRun(answers[0].code));
}

BOOST_AUTO_TEST_CASE(A_task_that_provably_did_not_start_is_sent_again)
{
    configure(2, 4);
    submit(makeJob("a", 1));
    report(0, TaskNotStarted {NotStartedReason::NoSlot});
    BOOST_REQUIRE_EQUAL(port.started.size(), 2);
    BOOST_TEST(port.started[1].start.ref.attempt == 2);
    finish(1);
    BOOST_TEST((answers.at(0).code == ResultCode::Complete));
}

BOOST_AUTO_TEST_CASE(A_late_outcome_of_an_earlier_attempt_changes_nothing)
{
    configure(2, 4);
    submit(makeJob("a", 1));
    const auto first = port.started[0].start.ref;
    report(0, TaskNotStarted {NotStartedReason::NoSlot});
    dispatcher.onOutcome(first, TaskFinished {"stale"}, now);
    BOOST_TEST(answers.empty());
    finish(1);
    BOOST_TEST(answers.at(0).results.at(0).output == "a/t0");
}

BOOST_AUTO_TEST_CASE(A_job_whose_tasks_were_all_refused_is_answered_not_run_at_its_deadline)
{
    configure(1, 1);
    submit(makeJob("a", 1));
    report(0, TaskNotStarted {NotStartedReason::TargetLeaving});
    advance(Seconds(11));
    BOOST_TEST((answers.at(0).code == ResultCode::DeadlineBeforeStart));
    BOOST_TEST(isNotRun(answers.at(0).code));
}

BOOST_AUTO_TEST_CASE(A_job_with_a_sent_task_is_never_answered_not_run)
{
    configure(1, 1);
    submit(makeJob("a", 2));
    advance(Seconds(11));
    BOOST_TEST((answers.at(0).code == ResultCode::DeadlineExceeded));
    BOOST_REQUIRE_EQUAL(port.stopped.size(), 1);
    BOOST_TEST(port.stopped[0].task == "t0");
}

BOOST_AUTO_TEST_CASE(A_cancelled_job_frees_its_slots_when_its_tasks_have_stopped)
{
    configure(1, 2);
    submit(makeJob("a", 4));
    submit(makeJob("b", 2));
    BOOST_TEST(port.started.size() == 2);
    BOOST_TEST(dispatcher.cancel("a", now));
    BOOST_TEST((answers.at(0).code == ResultCode::CancelledWhileRunning));
    report(0, TaskStopped {});
    report(1, TaskStopped {});
    BOOST_REQUIRE_EQUAL(port.started.size(), 4);
    BOOST_TEST(port.started[2].start.submission == "b");
    BOOST_TEST(answers.size() == 1);
}

BOOST_AUTO_TEST_CASE(The_job_with_the_fewest_unstarted_tasks_starts_first)
{
    configure(1, 1);
    submit(makeJob("running", 1));
    submit(makeJob("large", 5));
    submit(makeJob("small", 1));
    finish(0);
    BOOST_REQUIRE_EQUAL(port.started.size(), 2);
    BOOST_TEST(port.started[1].start.submission == "small");
}

BOOST_AUTO_TEST_CASE(A_fifo_queue_starts_the_oldest_job_first)
{
    configure(1, 1, QueueOrderKind::Fifo);
    submit(makeJob("running", 1));
    submit(makeJob("large", 5));
    submit(makeJob("small", 1));
    finish(0);
    BOOST_TEST(port.started.at(1).start.submission == "large");
}

BOOST_AUTO_TEST_CASE(A_task_larger_than_every_target_is_refused_permanently)
{
    configure(1, 1);
    auto job = makeJob("a", 1);
    job.tasks[0].size.cpus = 33;
    submit(job);
    BOOST_TEST((answers.at(0).code == ResultCode::NeverFits));
    BOOST_TEST(answers.at(0).retryAfter.count() == 0);
    BOOST_TEST(port.started.empty());
}

BOOST_AUTO_TEST_CASE(A_second_submission_with_the_same_id_is_refused_while_the_first_is_in_progress)
{
    configure(1, 1);
    submit(makeJob("a", 1));
    submit(makeJob("a", 1));
    BOOST_REQUIRE_EQUAL(answers.size(), 1);
    BOOST_TEST((answers[0].code == ResultCode::DuplicateSubmission));
    finish(0);
    BOOST_TEST((answers.at(1).code == ResultCode::Complete));
}

BOOST_AUTO_TEST_CASE(A_draining_host_refuses_new_jobs_and_finishes_admitted_ones)
{
    configure(1, 1);
    submit(makeJob("a", 2));
    dispatcher.beginDrain();
    submit(makeJob("b", 1));
    BOOST_TEST((answers.at(0).code == ResultCode::Draining));
    finish(0);
    finish(1);
    BOOST_TEST((answers.at(1).code == ResultCode::Complete));
    BOOST_TEST(dispatcher.isIdle());
}

BOOST_AUTO_TEST_CASE(A_host_that_must_stop_answers_each_job_with_whether_it_may_have_run)
{
    configure(1, 1);
    submit(makeJob("sent", 1));
    submit(makeJob("waiting", 1));
    dispatcher.beginDrain();
    dispatcher.abandonAll(now);
    BOOST_REQUIRE_EQUAL(answers.size(), 2);
    for (const auto &answer : answers) {
        BOOST_TEST((answer.code == (answer.submission == "sent" ? ResultCode::StoppedWhileRunning : ResultCode::Draining)));
    }
}

BOOST_AUTO_TEST_CASE(A_leaving_target_gets_no_new_task)
{
    configure(2, 1);
    dispatcher.applyLeavingTargets({"target-0"});
    submit(makeJob("a", 2));
    BOOST_REQUIRE_EQUAL(port.started.size(), 1);
    BOOST_TEST(port.started[0].target == 1);
}

BOOST_AUTO_TEST_SUITE_END()
