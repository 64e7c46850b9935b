#include "dispatch/collisionlimit.h"

#include <boost/test/unit_test.hpp>

using namespace Anvilcart;

BOOST_AUTO_TEST_SUITE(CollisionLimitSuite, *boost::unit_test::label("dispatch"))

BOOST_AUTO_TEST_CASE(Refused_probes_become_rarer_and_accepted_ones_raise_the_limit)
{
    CollisionLimit limit;
    TimePoint now = TimePoint() + Seconds(1000);
    int refusals = 0;
    const auto end = now + Seconds(10);
    for (; now < end; now += Milliseconds(5)) {
        limit.onTick(8, now);
        if (limit.taskLimit() > 3) {
            ++refusals;
            limit.onCollision(3, now);
        }
    }
    BOOST_TEST(refusals >= 10);
    BOOST_TEST(refusals <= 40);
    for (int i = 0; i < 400 && limit.taskLimit() <= 8; ++i) {
        now += Milliseconds(5);
        limit.onTick(8, now);
    }
    BOOST_TEST(limit.taskLimit() > 8);
}

BOOST_AUTO_TEST_SUITE_END()
