#include "entry/callerlimit.h"
#include "workload/route.h"

#include <boost/test/unit_test.hpp>

using namespace Anvilcart;
using namespace Anvilcart::Fleet;

BOOST_AUTO_TEST_SUITE(CallerLimitSuite)

// On the site kbw-turnery callers of long jobs wait up to 14 s where the route's time-out is 1.5 s; one long job in seven was given up
// although its caller waited on.
BOOST_AUTO_TEST_CASE(A_caller_is_served_for_as_long_as_it_waits)
{
    Route route;
    route.timeout = Milliseconds(1500);
    BOOST_TEST(callerLimit("7900", route).count() == 7900);
    BOOST_TEST(callerLimit("800", route).count() == 800);
}

BOOST_AUTO_TEST_CASE(A_caller_that_tells_nothing_readable_gets_the_routes_timeout)
{
    Route route;
    route.timeout = Milliseconds(1500);
    for (const auto *told : {"", "soon", "0", "-5", "99999999999999999999"}) {
        BOOST_TEST(callerLimit(told, route).count() == 1500);
    }
    BOOST_TEST(callerLimit("", Route()).count() == 30000);
}

BOOST_AUTO_TEST_CASE(An_absurd_limit_is_cut_to_an_hour)
{
    BOOST_TEST(callerLimit("9223372036854775807", Route()).count() == 3600 * 1000);
}

BOOST_AUTO_TEST_SUITE_END()
