#include "scheduling/fairqueueclock.h"
#include "scheduling/placementchoice.h"
#include "scheduling/queuepolicy.h"
#include "scheduling/runtimemodel.h"
#include "scheduling/targethealthrecord.h"

#include <boost/test/unit_test.hpp>

#include <memory>
#include <random>
#include <set>

using namespace Anvilcart;
using namespace Anvilcart::Fleet;

namespace
{
constexpr TimePoint Now {std::chrono::hours(1)};

struct PlacementFixture
{
    TargetLedger &add(const std::string &id, std::int64_t milliCores, double slowness)
    {
        TargetEntry entry;
        entry.id = id;
        entry.service = "service";
        entry.zone = "a";
        entry.capacity = {milliCores, 100000, 0};
        auto target = std::make_unique<TargetLedger>(entry, 1, Seconds(1));
        target->clock.onReading(1, Now);
        target->recordClaim(Now);
        for (int i = 0; i < 60; ++i) {
            target->health.onJobComparison(slowness, Now);
        }
        targets.push_back(target.get());
        owned.push_back(std::move(target));
        return *targets.back();
    }

    PlacementRequest request(Milliseconds expected, std::int64_t milliCores = 14000) const
    {
        PlacementRequest placementRequest;
        placementRequest.demand = {milliCores, 64, 0};
        placementRequest.requiredLabel = &noLabel;
        placementRequest.nearRack = &noLabel;
        placementRequest.avoidedTargets = &noTargets;
        placementRequest.jobId = "j";
        placementRequest.expectedRunTime = expected;
        placementRequest.callerDeadline = Now + Milliseconds(1500);
        placementRequest.objectiveAt = Now + expected * 8 / 5 + Milliseconds(60);
        return placementRequest;
    }

    std::string noLabel;
    std::set<std::string> noTargets;
    std::vector<std::unique_ptr<TargetLedger>> owned;
    std::vector<TargetLedger *> targets;
};
} // namespace

BOOST_AUTO_TEST_SUITE(DecisionSuite, *boost::unit_test::label("scheduling"))

BOOST_FIXTURE_TEST_CASE(An_urgent_task_gets_the_fastest_target, PlacementFixture)
{
    add("slow", 32000, 1.25);
    add("fast", 32000, 0.8);
    add("middle", 32000, 1.0);
    BOOST_TEST(chooseTarget(targets, request(Milliseconds(1000)), Now)->entry().id == "fast");
}

BOOST_FIXTURE_TEST_CASE(A_task_with_time_to_spare_leaves_the_fast_targets_to_others, PlacementFixture)
{
    add("fast", 32000, 0.8);
    add("slow", 32000, 1.2);
    BOOST_TEST(chooseTarget(targets, request(Milliseconds(60)), Now)->entry().id == "slow");
}

BOOST_FIXTURE_TEST_CASE(A_target_that_would_miss_the_callers_deadline_is_skipped, PlacementFixture)
{
    add("crawling", 32000, 2.5);
    BOOST_TEST(chooseTarget(targets, request(Milliseconds(1000)), Now) == nullptr);
}

BOOST_FIXTURE_TEST_CASE(Among_equal_targets_the_one_that_the_task_fills_is_chosen, PlacementFixture)
{
    add("empty", 32000, 1);
    add("half", 32000, 1).addRun({{"other", 0, 0, 0}, 1}, {14000, 64, 0}, Now);
    BOOST_TEST(chooseTarget(targets, request(Milliseconds(60)), Now)->entry().id == "half");
}

BOOST_FIXTURE_TEST_CASE(The_target_with_the_earliest_expected_capacity_is_reserved, PlacementFixture)
{
    auto &late = add("late", 32000, 1);
    auto &soon = add("soon", 32000, 1);
    late.addRun({{"a", 0, 0, 0}, 1}, {20000, 64, 0}, Now).expectedRunTime = Milliseconds(900);
    soon.addRun({{"b", 0, 0, 0}, 1}, {20000, 64, 0}, Now).expectedRunTime = Milliseconds(60);
    BOOST_TEST(chooseTargetToReserve(targets, request(Milliseconds(500), 20000), Now)->entry().id == "soon");
}

// In an overload, a target that was five times slower was free most of the time, and took tasks that ended late there.
BOOST_FIXTURE_TEST_CASE(A_task_waits_for_a_faster_target_only_while_it_can_be_in_time_there, PlacementFixture)
{
    auto &slow = add("slow", 32000, 2.5);
    BOOST_TEST(!isInTimeElsewhere(targets, slow, request(Milliseconds(100)), Now));
    auto &fast = add("fast", 14000, 1);
    auto &run = fast.addRun({{"other", 0, 0, 0}, 1}, {14000, 64, 0}, Now);
    run.expectedRunTime = Milliseconds(100);
    BOOST_TEST(isInTimeElsewhere(targets, slow, request(Milliseconds(100)), Now));
    BOOST_TEST(!isInTimeElsewhere(targets, fast, request(Milliseconds(100)), Now));
    run.expectedRunTime = Milliseconds(130);
    BOOST_TEST(!isInTimeElsewhere(targets, slow, request(Milliseconds(100)), Now));
}

BOOST_AUTO_TEST_CASE(A_route_within_its_share_is_not_delayed_by_others)
{
    FairQueueClock clock;
    double greedy = 0;
    for (int i = 0; i < 100; ++i) {
        greedy = clock.assignStartTag("greedy", 0, 10);
    }
    BOOST_TEST(clock.assignStartTag("modest", 0, 10) < greedy);
}

BOOST_AUTO_TEST_CASE(Priority_changes_shares_and_starves_no_route)
{
    FairQueueClock clock;
    int urgentFirst = 0;
    double urgent = 0;
    double patient = 0;
    for (int i = 0; i < 100; ++i) {
        urgent = clock.assignStartTag("urgent", 0, 10);
        patient = clock.assignStartTag("patient", 2, 10);
        urgentFirst += urgent < patient ? 1 : 0;
    }
    BOOST_TEST(urgentFirst > 90);
    BOOST_TEST(patient < 2 * urgent);
}

BOOST_AUTO_TEST_CASE(A_route_is_not_charged_for_jobs_that_left_its_queue)
{
    FairQueueClock clock;
    clock.onStarted("steady", 0, 10, clock.assignStartTag("steady", 0, 10));
    for (int i = 0; i < 100; ++i) {
        clock.assignStartTag("steady", 0, 10);
    }
    clock.resetWaitingTags("steady");
    BOOST_TEST(clock.assignStartTag("steady", 0, 10) == 10);
}

BOOST_AUTO_TEST_CASE(Each_policy_ranks_jobs_by_its_own_criterion)
{
    QueueRankInputs early;
    early.arrivedAt = Now;
    early.objectiveAt = Now + Seconds(2);
    early.startTag = 20;
    early.remainingCoreMs = 90000;
    QueueRankInputs later;
    later.arrivedAt = Now + Milliseconds(10);
    later.objectiveAt = Now + Seconds(1);
    later.startTag = 10;
    later.remainingCoreMs = 10;
    BOOST_TEST(rankOf(FirstComeFirstServed(), early) < rankOf(FirstComeFirstServed(), later));
    BOOST_TEST(rankOf(EarliestObjectiveFirst(), later) < rankOf(EarliestObjectiveFirst(), early));
    BOOST_TEST(rankOf(FairShareFirst(), later) < rankOf(FairShareFirst(), early));
    BOOST_TEST(rankOf(LeastWorkFirst(), later) < rankOf(LeastWorkFirst(), early));
}

BOOST_AUTO_TEST_CASE(Run_times_are_forecast_from_inaccurate_estimates)
{
    RunTimeModel model;
    std::mt19937_64 random(7);
    std::normal_distribution<double> normal(0, 1);
    for (int i = 0; i < 2000; ++i) {
        const double runTime = 900 * std::exp(0.4 * normal(random));
        const double estimate = runTime * std::exp(0.4 * normal(random));
        model.onRun("route", Milliseconds(static_cast<int>(estimate)), Milliseconds(static_cast<int>(runTime)), 1);
    }
    // Run times and estimation errors have the same variance here, so half of an estimate's deviation from the mean is error.
    const double forecast = toMilliseconds(model.forecast("route", Milliseconds(2000)));
    BOOST_TEST(forecast > 1100);
    BOOST_TEST(forecast < 1600);
}

BOOST_AUTO_TEST_CASE(The_slowest_of_many_tasks_is_forecast_to_take_longer)
{
    RunTimeModel model;
    BOOST_TEST(model.slowestTaskFactor("route", 1) == 1);
    BOOST_TEST(model.slowestTaskFactor("route", 8) > model.slowestTaskFactor("route", 2));
    BOOST_TEST(model.slowestTaskFactor("route", 8) < 1.4);
}

BOOST_AUTO_TEST_CASE(A_slow_target_is_detected_after_a_few_runs_and_its_slowness_decays)
{
    TargetHealthRecord health;
    for (int i = 0; i < 3; ++i) {
        health.onRunCompleted(Milliseconds(100), Milliseconds(500), Now);
    }
    BOOST_TEST(health.slowness(Now) > 3);
    BOOST_TEST(health.slowness(Now + Seconds(20)) < 1.2);
}

BOOST_AUTO_TEST_CASE(Ejections_grow_longer_while_the_target_keeps_failing)
{
    TargetHealthRecord health;
    BOOST_TEST(!health.onRunFailed("a", false));
    BOOST_TEST(health.onRunFailed("b", false));
    health.eject(Now);
    BOOST_TEST(health.isEjected(Now + Milliseconds(900)));
    BOOST_TEST(!health.isEjected(Now + Milliseconds(1100)));
    BOOST_TEST(health.onRunFailed("c", false));
    health.eject(Now + Milliseconds(1100));
    BOOST_TEST(health.isEjected(Now + Milliseconds(2900)));
}

BOOST_AUTO_TEST_SUITE_END()
