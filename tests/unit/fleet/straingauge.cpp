#include "fleet/straingauge.h"

#include <boost/test/unit_test.hpp>

using namespace Anvilcart;
using namespace Anvilcart::Fleet;

namespace
{
constexpr TimePoint Begin {std::chrono::hours(1)};
constexpr Milliseconds Period {25};
} // namespace

BOOST_AUTO_TEST_SUITE(StrainGaugeSuite, *boost::unit_test::label("fleet"))

BOOST_AUTO_TEST_CASE(Timers_that_fire_late_for_a_while_mean_strain_and_single_ones_do_not)
{
    StrainGauge gauge;
    gauge.onDelay(Seconds(3), Begin);
    BOOST_TEST(!gauge.isStrained(Begin + Period));
    StrainGauge late;
    auto now = Begin;
    for (int timer = 0; timer < 20; ++timer) {
        now += Period;
        late.onDelay(Milliseconds(60), now);
    }
    BOOST_TEST(late.isStrained(now));
}

BOOST_AUTO_TEST_CASE(Strain_is_remembered_when_the_work_is_gone_and_forgotten_in_the_end)
{
    StrainGauge gauge;
    auto now = Begin;
    for (int timer = 0; timer < 20; ++timer) {
        now += Period;
        gauge.onDelay(Milliseconds(60), now);
    }
    for (int timer = 0; timer < 100; ++timer) {
        now += Period;
        gauge.onDelay(Milliseconds(1), now);
    }
    BOOST_TEST(gauge.isStrained(now));
    BOOST_TEST(!gauge.isStrained(now + Seconds(11)));
}

BOOST_AUTO_TEST_SUITE_END()
