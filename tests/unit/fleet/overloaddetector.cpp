#include "fleet/overloaddetector.h"

#include <boost/test/unit_test.hpp>

using namespace Anvilcart;
using namespace Anvilcart::Fleet;

namespace
{
constexpr TimePoint StartTime {std::chrono::hours(1)};
constexpr Milliseconds Period {25};
} // namespace

BOOST_AUTO_TEST_SUITE(OverloadDetectorSuite, *boost::unit_test::label("fleet"))

BOOST_AUTO_TEST_CASE(Repeated_late_timers_mean_overload_and_a_single_one_does_not)
{
    OverloadDetector detector;
    detector.onDelay(Seconds(3), StartTime);
    BOOST_TEST(!detector.isOverloaded(StartTime + Period));
    OverloadDetector overloaded;
    auto now = StartTime;
    for (int timer = 0; timer < 20; ++timer) {
        now += Period;
        overloaded.onDelay(Milliseconds(60), now);
    }
    BOOST_TEST(overloaded.isOverloaded(now));
}

BOOST_AUTO_TEST_CASE(Overload_outlasts_the_late_timers_and_ends_after_the_hold_time)
{
    OverloadDetector detector;
    auto now = StartTime;
    for (int timer = 0; timer < 20; ++timer) {
        now += Period;
        detector.onDelay(Milliseconds(60), now);
    }
    for (int timer = 0; timer < 100; ++timer) {
        now += Period;
        detector.onDelay(Milliseconds(1), now);
    }
    BOOST_TEST(detector.isOverloaded(now));
    BOOST_TEST(!detector.isOverloaded(now + Seconds(11)));
}

BOOST_AUTO_TEST_SUITE_END()
