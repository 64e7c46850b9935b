#include "dispatch/retrybudget.h"

#include "dispatchfixture.h"

#include <boost/test/unit_test.hpp>

using namespace Anvilcart;

namespace
{
/// One target that refuses every start; the task provably did not start.
class RetryFixture : public DispatchFixture
{
public:
    RetryFixture()
    {
        configure(1, 4);
    }

    /// Refuses starts until no more follow, or maxCount were refused. Returns the number of refused starts.
    std::size_t refuseAll(std::size_t maxCount)
    {
        std::size_t refused = 0;
        while (m_next < port.started.size() && refused < maxCount) {
            report(m_next++, TaskNotStarted {NotStartedReason::RefusedByTarget});
            advance(Milliseconds(510));
            ++refused;
        }
        return refused;
    }

private:
    std::size_t m_next = 0;
};
} // namespace

BOOST_FIXTURE_TEST_SUITE(RetriesSuite, RetryFixture, *boost::unit_test::label("dispatch"))

BOOST_AUTO_TEST_CASE(A_task_that_is_refused_too_often_fails_its_job_at_once_as_not_run)
{
    submit(makeJob("a", 1));
    BOOST_TEST(refuseAll(100) == 10);
    BOOST_REQUIRE_EQUAL(answers.size(), 1);
    BOOST_TEST((answers[0].code == ResultCode::RetryBudgetExhausted));
    BOOST_TEST(answers[0].retryAfter.count() > 0);
    BOOST_TEST(dispatcher.isIdle());
}

BOOST_AUTO_TEST_CASE(A_job_that_has_run_in_part_is_not_answered_not_run_when_its_retries_are_exhausted)
{
    submit(makeJob("a", 2));
    finish(0);
    report(1, TaskNotStarted {NotStartedReason::RefusedByTarget});
    for (std::size_t start = 2; answers.empty() && start < 100; ++start) {
        advance(Milliseconds(510));
        BOOST_REQUIRE_LT(start, port.started.size());
        report(start, TaskNotStarted {NotStartedReason::RefusedByTarget});
    }
    BOOST_TEST((answers.at(0).code == ResultCode::RetriesExhausted));
    BOOST_TEST(!isNotRun(answers.at(0).code));
}

BOOST_AUTO_TEST_CASE(Retries_of_many_jobs_are_limited_by_the_budget)
{
    for (int i = 0; i < 40; ++i) {
        auto job = makeJob("j" + std::to_string(i), 1);
        job.deadline = std::chrono::milliseconds(300000);
        submit(job);
    }
    refuseAll(10000);
    BOOST_TEST(answers.size() == 40);
    BOOST_TEST(observer.answers[ResultCode::RetryBudgetExhausted] == 40);
    // A full bucket of 100 tokens, and a fifth of a token for each of the 40 first starts.
    BOOST_TEST(port.started.size() <= 40 + 100 + 8);
}

BOOST_AUTO_TEST_CASE(A_full_target_is_retried_after_growing_pauses_without_failing_the_job)
{
    submit(makeJob("a", 1));
    std::size_t next = 0;
    while (now < TimePoint() + Seconds(1009)) {
        while (next < port.started.size()) {
            report(next++, TaskNotStarted {NotStartedReason::NoSlot});
        }
        advance(Milliseconds(5));
    }
    BOOST_TEST(answers.empty());
    // Pauses of 5, 10, 20, ... 320 ms; all further pauses are 320 ms.
    BOOST_TEST(port.started.size() <= 7 + 9000 / 320);
    advance(Milliseconds(320));
    finish(port.started.size() - 1);
    BOOST_TEST((answers.at(0).code == ResultCode::Complete));
}

BOOST_AUTO_TEST_CASE(First_starts_fill_the_bucket_to_its_size)
{
    RetrySpec spec;
    spec.budgetPercent = 50;
    spec.budgetBurst = 2;
    RetryBudget budget;
    budget.configure(spec);
    BOOST_TEST(budget.tryConsume());
    BOOST_TEST(budget.tryConsume());
    BOOST_TEST(!budget.tryConsume());
    budget.onFirstStart();
    BOOST_TEST(!budget.tryConsume());
    budget.onFirstStart();
    BOOST_TEST(budget.tryConsume());
    for (int i = 0; i < 100; ++i) {
        budget.onFirstStart();
    }
    BOOST_TEST(budget.tryConsume());
    BOOST_TEST(budget.tryConsume());
    BOOST_TEST(!budget.tryConsume());
}

BOOST_AUTO_TEST_SUITE_END()
