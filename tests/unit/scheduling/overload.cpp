#include "schedulerfixture.h"
#include "scheduling/overloadpolicy.h"

#include <boost/test/unit_test.hpp>

using namespace Anvilcart;
using namespace Anvilcart::Fleet;

namespace
{
constexpr TimePoint Now {std::chrono::hours(1)};
constexpr CapacityShortage Short {10, 8};

SchedulerLimits limitsWithRefusals()
{
    SchedulerLimits limits;
    limits.refuseLate = true;
    return limits;
}

/// A target with room for two tasks, which are taken, and jobs behind them that have become late.
struct LateJobsFixture : SchedulerFixture
{
    LateJobsFixture()
        : SchedulerFixture(limitsWithRefusals())
    {
        claimTarget("t1");
        submit(job("running", 2));
        answerStart(0);
        answerStart(1);
        for (int number = 0; number < 6; ++number) {
            submit(job("late " + std::to_string(number)));
        }
        now += Milliseconds(95);
    }

    void submitJobsInTime()
    {
        for (int number = 0; number < 3; ++number) {
            submit(job("in time " + std::to_string(number)));
        }
    }
};
} // namespace

BOOST_AUTO_TEST_SUITE(OverloadPolicySuite, *boost::unit_test::label("scheduling"))

BOOST_AUTO_TEST_CASE(Only_jobs_that_have_missed_their_objective_are_refused)
{
    OverloadPolicy policy;
    policy.onStarted("route", Now);
    BOOST_TEST(!policy.refuses("route", Timeliness::InTime, Short, Now));
    BOOST_TEST(policy.refuses("route", Timeliness::Late, Short, Now));
    BOOST_TEST(policy.refuses("route", Timeliness::Overdue, Short, Now));
}

// One long job at the end of the queue counted as a shortage, and late jobs were refused that would have been served a little later.
BOOST_AUTO_TEST_CASE(A_few_jobs_that_are_forecast_to_miss_are_no_shortage)
{
    OverloadPolicy policy;
    policy.onStarted("route", Now);
    BOOST_TEST(!policy.refuses("route", Timeliness::Late, {1, 8}, Now));
    BOOST_TEST(!policy.refuses("route", Timeliness::Late, {0, 0}, Now));
}

// A forecast that is wrong for a kind of job would refuse it for ever.
BOOST_AUTO_TEST_CASE(Routes_of_which_nothing_was_started_lately_are_exempt)
{
    OverloadPolicy policy;
    BOOST_TEST(!policy.refuses("route", Timeliness::Late, Short, Now));
    policy.onStarted("route", Now);
    BOOST_TEST(!policy.refuses("other", Timeliness::Late, Short, Now));
    BOOST_TEST(!policy.refuses("route", Timeliness::Late, Short, Now + Milliseconds(1100)));
}

// Reservations among tasks of one size kept freed capacity from the job at the head of the queue.
BOOST_AUTO_TEST_CASE(Capacity_is_reserved_only_for_tasks_that_much_smaller_ones_could_overtake)
{
    const Resources capacity {16000, 64000, 0};
    BOOST_TEST(dominantShare({8000, 1000, 0}, capacity) == 0.5);
    BOOST_TEST(dominantShare({1000, 48000, 0}, capacity) == 0.75);
    BOOST_TEST(!needsReservation(0.5, 0.5));
    BOOST_TEST(!needsReservation(0.5, 0.4));
    BOOST_TEST(needsReservation(0.5, 0.2));
}

BOOST_FIXTURE_TEST_CASE(While_capacity_is_short_late_jobs_are_refused_at_once_as_not_run, LateJobsFixture)
{
    submitJobsInTime();
    BOOST_TEST(port.ended.empty());
    advance(Milliseconds(5));
    BOOST_REQUIRE(port.ended.size() == 6);
    for (const auto &ended : port.ended) {
        BOOST_TEST(ended.job.request.id.starts_with("late"));
        BOOST_TEST((ended.result.end == JobEnd::NotRun));
        BOOST_TEST((ended.result.reason == JobEndReason::Overload));
        BOOST_TEST((ended.result.retryAfter >= Seconds(1)));
    }
}

BOOST_FIXTURE_TEST_CASE(Late_jobs_wait_on_while_no_other_job_is_forecast_to_miss_its_objective, LateJobsFixture)
{
    submit(job("in time"));
    advance(Milliseconds(5));
    BOOST_TEST(port.ended.empty());
}

// A refusal that cannot say "not run" is of no use to the caller.
BOOST_FIXTURE_TEST_CASE(A_late_job_that_may_have_run_before_waits_on, LateJobsFixture)
{
    scheduler.onHistoryLost(now);
    submitJobsInTime();
    advance(Milliseconds(5));
    BOOST_TEST(port.ended.empty());
}

BOOST_AUTO_TEST_SUITE_END()
