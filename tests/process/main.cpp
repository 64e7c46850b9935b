#define BOOST_TEST_MODULE anvilcart process
#include <boost/test/unit_test.hpp>
