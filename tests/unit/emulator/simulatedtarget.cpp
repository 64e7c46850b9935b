#include "emulator/simulatedtarget.h"

#include <boost/test/unit_test.hpp>

using namespace Anvilcart;
using namespace Anvilcart::Emulation;
using namespace Anvilcart::Fleet;

namespace
{
constexpr std::int64_t LongestLeaseMs = 1000;

/// A target that has run for a second, with two cores. Tasks need one core and run until their lease ends.
struct TargetFixture
{
    TargetFixture()
    {
        advance(Seconds(1));
    }

    void advance(Duration time)
    {
        clock.runUntil(clock.elapsed() + time);
    }

    RequestResult start(const std::string &jobId, std::uint64_t token, std::int64_t leaseMs, std::uint32_t run = 1)
    {
        StartRequest request;
        request.name = {{jobId, 0, 0, 0}, run};
        request.leaseUntilMs = target.clockMs() + leaseMs;
        request.fencingToken = token;
        return target.start(request).result;
    }

    RequestResult stop(const std::string &jobId, std::uint64_t token, std::uint32_t run = 1)
    {
        StopRequest request;
        request.name = {{jobId, 0, 0, 0}, run};
        request.fencingToken = token;
        return target.stop(request).result;
    }

    RenewalReply renew(std::uint64_t token, std::int64_t leaseUntilMs)
    {
        RenewalRequest request;
        request.fencingToken = token;
        request.leaseUntilMs = leaseUntilMs;
        RenewalReply answer;
        target.renew(request, [&answer](const RenewalReply &reply) {
            answer = reply;
        });
        return answer;
    }

    std::int64_t leaseLeftMs() const
    {
        return target.leaseUntilMs() - target.clockMs();
    }

    TargetEntry entry() const
    {
        TargetEntry targetEntry;
        targetEntry.id = "target";
        targetEntry.capacity = {2000, 1000, 0};
        return targetEntry;
    }

    SimulatedClock clock;
    InvariantChecker invariants;
    SimulatedTarget target {entry(), clock, invariants, [](const TaskName &) {
                                TaskProfile profile;
                                profile.runTime = std::chrono::hours(1);
                                profile.demand = {1000, 10, 0};
                                return profile;
                            }};
};
} // namespace

BOOST_FIXTURE_TEST_SUITE(SimulatedTargetSuite, TargetFixture, *boost::unit_test::label("emulator"))

BOOST_AUTO_TEST_CASE(A_run_lives_as_long_as_the_lease_that_an_earlier_owner_has_granted)
{
    renew(1, target.clockMs() + LongestLeaseMs);
    renew(2, 0);
    BOOST_TEST((start("j", 2, 450) == RequestResult::Accepted));
    BOOST_TEST(leaseLeftMs() == LongestLeaseMs);
    advance(Milliseconds(990));
    BOOST_TEST(target.runningCount() == 1);
    advance(Milliseconds(20));
    BOOST_TEST(target.runningCount() == 0);
    BOOST_TEST(!target.hasLease());
}

BOOST_AUTO_TEST_CASE(A_deadline_outlives_the_run_for_which_it_was_granted)
{
    start("j", 1, LongestLeaseMs);
    stop("j", 1);
    advance(Milliseconds(100));
    BOOST_TEST(target.runningCount() == 0);
    BOOST_TEST(leaseLeftMs() == LongestLeaseMs - 100);
    start("k", 1, 450);
    advance(Milliseconds(800));
    BOOST_TEST(target.runningCount() == 1);
}

BOOST_AUTO_TEST_CASE(A_shorter_lease_does_not_shorten_a_longer_one)
{
    start("j", 1, LongestLeaseMs);
    renew(1, target.clockMs() + 100);
    renew(1, 0);
    BOOST_TEST(leaseLeftMs() == LongestLeaseMs);
}

BOOST_AUTO_TEST_CASE(A_start_of_a_run_that_is_already_there_extends_the_deadline)
{
    start("j", 1, 450);
    advance(Milliseconds(100));
    BOOST_TEST((start("j", 1, 700) == RequestResult::Accepted));
    BOOST_TEST(leaseLeftMs() == 700);
    BOOST_TEST(target.runningCount() == 1);
}

BOOST_AUTO_TEST_CASE(A_start_that_is_refused_since_its_run_has_ended_extends_the_deadline)
{
    stop("j", 1);
    BOOST_TEST((start("j", 1, 700) == RequestResult::RunOutdated));
    BOOST_TEST(leaseLeftMs() == 700);
    BOOST_TEST(target.runningCount() == 0);
}

BOOST_AUTO_TEST_CASE(A_start_that_is_refused_for_want_of_capacity_extends_the_deadline)
{
    target.setCapacityEnforced(true);
    start("j", 1, 450);
    start("k", 1, 450);
    BOOST_TEST((start("l", 1, 700) == RequestResult::InsufficientCapacity));
    BOOST_TEST(leaseLeftMs() == 700);
    BOOST_TEST(target.runningCount() == 2);
}

BOOST_AUTO_TEST_CASE(A_start_that_is_fenced_or_late_extends_no_deadline)
{
    renew(2, target.clockMs() + 300);
    BOOST_TEST((start("j", 1, LongestLeaseMs) == RequestResult::Fenced));
    BOOST_TEST((start("j", 2, 0) == RequestResult::TooLate));
    BOOST_TEST((renew(1, target.clockMs() + LongestLeaseMs).result == RequestResult::Fenced));
    BOOST_TEST(leaseLeftMs() == 300);
}

BOOST_AUTO_TEST_CASE(A_restart_begins_clock_token_and_deadline_anew)
{
    start("j", 7, LongestLeaseMs);
    target.restart();
    BOOST_TEST(target.clockMs() == 1);
    BOOST_TEST(target.fencingToken() == 0);
    BOOST_TEST(!target.hasLease());
    BOOST_TEST(target.runningCount() == 0);
    BOOST_TEST((start("k", 1, 450) == RequestResult::Accepted));
    BOOST_TEST(leaseLeftMs() == 450);
}

BOOST_AUTO_TEST_CASE(A_late_order_with_a_deadline_of_an_earlier_clock_is_cut_to_the_longest_lease)
{
    StartRequest request;
    request.name = {{"j", 0, 0, 0}, 1};
    request.leaseUntilMs = target.clockMs() + 450;
    request.fencingToken = 1;
    target.restart();
    BOOST_TEST((target.start(request).result == RequestResult::Accepted));
    BOOST_TEST(leaseLeftMs() == LongestLeaseMs);
}

BOOST_AUTO_TEST_CASE(A_lease_on_a_target_with_a_slow_clock_lasts_longer)
{
    SimulatedTarget slow(entry(), clock, invariants, [](const TaskName &) {
        TaskProfile profile;
        profile.runTime = std::chrono::hours(1);
        return profile;
    });
    slow.setClockRate(0.98);
    StartRequest request;
    request.name = {{"j", 0, 0, 0}, 1};
    request.leaseUntilMs = slow.clockMs() + LongestLeaseMs;
    request.fencingToken = 1;
    slow.start(request);
    advance(Milliseconds(1015));
    BOOST_TEST(slow.runningCount() == 1);
    advance(Milliseconds(10));
    BOOST_TEST(slow.runningCount() == 0);
}

// Guards against emulated rack-local steps that cost nothing when they are split while some of their tasks run.
BOOST_AUTO_TEST_CASE(A_run_whose_profile_becomes_longer_ends_later)
{
    TaskProfile profile;
    profile.runTime = Milliseconds(200);
    SimulatedTarget other(entry(), clock, invariants, [&profile](const TaskName &) {
        return profile;
    });
    StartRequest request;
    request.name = {{"j", 0, 0, 0}, 1};
    request.leaseUntilMs = other.clockMs() + LongestLeaseMs;
    request.fencingToken = 1;
    other.start(request);
    advance(Milliseconds(100));
    profile.runTime = Milliseconds(400);
    advance(Milliseconds(290));
    BOOST_TEST(other.runningCount() == 1);
    advance(Milliseconds(20));
    BOOST_TEST(other.runningCount() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
