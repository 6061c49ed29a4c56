// Entry point of all test programs.
#define BOOST_TEST_MODULE rattanbay
#include <boost/test/unit_test.hpp>
