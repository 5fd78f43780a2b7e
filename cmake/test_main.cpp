#define BOOST_TEST_MODULE skylarkwing
#include <boost/test/unit_test.hpp>
