#include "config/carryforwardschedule.h"

#include <boost/test/unit_test.hpp>

using namespace Anvilcart;

namespace
{
constexpr Seconds Period {1000};
constexpr TimePoint Start {Seconds(1'000'000)};
} // namespace

BOOST_AUTO_TEST_SUITE(CarryForwardScheduleSuite, *boost::unit_test::label("config"))

BOOST_AUTO_TEST_CASE(A_host_that_hears_nobody_repeats_the_version_soon_after_its_start)
{
    const CarryForwardSchedule schedule("entry-1", Period, Start);
    BOOST_TEST(schedule.isDue(Start + Period / 10));
}

BOOST_AUTO_TEST_CASE(A_host_that_heard_another_waits_for_a_whole_period)
{
    CarryForwardSchedule schedule("entry-1", Period, Start);
    schedule.onCarriedForward(Start);
    BOOST_TEST(!schedule.isDue(Start + Period - Seconds(1)));
    BOOST_TEST(schedule.isDue(Start + Period + Period / 10));
}

BOOST_AUTO_TEST_CASE(Hosts_are_not_due_at_the_same_time)
{
    const auto at = Start + Period / 20;
    int due = 0;
    for (int host = 0; host < 100; ++host) {
        due += CarryForwardSchedule("entry-" + std::to_string(host), Period, Start).isDue(at) ? 1 : 0;
    }
    BOOST_TEST(due > 20);
    BOOST_TEST(due < 80);
}

BOOST_AUTO_TEST_CASE(A_failed_attempt_is_repeated_after_a_tenth_of_the_period)
{
    CarryForwardSchedule schedule("entry-1", Period, Start);
    const auto attempt = Start + Period / 10;
    schedule.onAttempt(attempt);
    BOOST_TEST(!schedule.isDue(attempt));
    BOOST_TEST(schedule.isDue(attempt + Period / 10));
}

BOOST_AUTO_TEST_SUITE_END()
