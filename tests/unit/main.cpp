#define BOOST_TEST_MODULE anvilcart unit
#include <boost/test/unit_test.hpp>
