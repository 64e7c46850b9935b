#include "entry/callerlimit.h"
#include "workload/route.h"

#include <boost/test/unit_test.hpp>

using namespace Anvilcart;
using namespace Anvilcart::Fleet;

BOOST_AUTO_TEST_SUITE(CallerLimitSuite)

// Guards against using the route's timeout instead of the caller's own: on the site kbw-turnery, callers of long jobs wait up to 14 s
// while the route's timeout is 1.5 s, and one long job in seven was abandoned although its caller was still waiting.
BOOST_AUTO_TEST_CASE(A_caller_is_served_for_as_long_as_it_waits)
{
    Route route;
    route.timeout = Milliseconds(1500);
    BOOST_TEST(callerLimit("7900", route).count() == 7900);
    BOOST_TEST(callerLimit("800", route).count() == 800);
}

BOOST_AUTO_TEST_CASE(A_caller_without_a_valid_timeout_gets_the_timeout_of_its_route)
{
    Route route;
    route.timeout = Milliseconds(1500);
    for (const auto *requested : {"", "soon", "0", "-5", "99999999999999999999"}) {
        BOOST_TEST(callerLimit(requested, route).count() == 1500);
    }
    BOOST_TEST(callerLimit("", Route()).count() == 30000);
}

BOOST_AUTO_TEST_CASE(A_timeout_of_more_than_an_hour_is_cut_to_an_hour)
{
    BOOST_TEST(callerLimit("9223372036854775807", Route()).count() == 3600 * 1000);
}

BOOST_AUTO_TEST_SUITE_END()
