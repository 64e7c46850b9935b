#include "site/measure.h"
#include "site/site.h"

#include <boost/test/unit_test.hpp>

using namespace Anvilcart;

BOOST_AUTO_TEST_SUITE(WholePathSuite, *boost::unit_test::label("process"))

BOOST_AUTO_TEST_CASE(Every_job_of_a_quiet_site_is_answered_whole)
{
    Site site(SiteOptions(), ANVILCART_BINARIES);
    const auto figures = measure(site, {0.3, 3, 7, std::chrono::microseconds(1000)});
    BOOST_TEST(figures.jobs > 0);
    BOOST_TEST(figures.whole == figures.jobs);
    BOOST_TEST(figures.wrong == 0);
    BOOST_TEST(figures.doubleStarts == 0);
}

BOOST_AUTO_TEST_CASE(Bad_requests_are_refused_and_the_host_goes_on)
{
    Site site(SiteOptions(), ANVILCART_BINARIES);
    const auto door = site.callerDoor(0, 0);
    BOOST_TEST(site.call(door, "POST", "/v1/jobs", "").status == 400);
    BOOST_TEST(site.call(door, "POST", "/v1/jobs", "{").status == 400);
    BOOST_TEST(site.call(door, "GET", "/v1/jobs").status == 405);
    BOOST_TEST(site.call(door, "GET", "/nowhere").status == 404);
    BOOST_TEST(site.call(door, "POST", "/v1/jobs", std::string(20'000'000, 'x')).status == 413);
    BOOST_TEST(site.call(door, "DELETE", "/v1/jobs/none").status == 404);
    BOOST_TEST(site.call(door, "GET", "/healthz").status == 200);
    BOOST_TEST(site.ledger() == "{}");
}

BOOST_AUTO_TEST_SUITE_END()
