#include "observe/metrics.h"

#include <boost/test/unit_test.hpp>

using namespace Anvilcart;

BOOST_AUTO_TEST_SUITE(MetricsSuite, *boost::unit_test::label("observe"))

BOOST_AUTO_TEST_CASE(Each_reason_of_an_ejection_has_its_counter)
{
    Metrics metrics;
    metrics.onEjection(EjectionReason::Stalled);
    const auto text = metrics.serialize();
    BOOST_TEST(text.find(R"(anvilcart_ejections_total{reason="stalled"} 1)") != std::string::npos);
    BOOST_TEST(text.find(R"(anvilcart_ejections_total{reason="probe_failed"} 0)") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
