#include "verbs/resultcodepage.h"

#include <boost/test/unit_test.hpp>

#include <fstream>
#include <sstream>

using namespace Anvilcart;

BOOST_AUTO_TEST_SUITE(ResultCodePageSuite, *boost::unit_test::label("verbs"))

BOOST_AUTO_TEST_CASE(The_committed_page_of_result_codes_is_the_table_that_the_binary_prints)
{
    const std::ifstream file(std::string(ANVILCART_SOURCE) + "/docs/RESULT-CODES.md");
    std::ostringstream committed;
    committed << file.rdbuf();
    BOOST_TEST(committed.str() == resultCodePage());
}

BOOST_AUTO_TEST_SUITE_END()
