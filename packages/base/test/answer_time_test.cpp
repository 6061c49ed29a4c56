#include <rattanbay/base/answer_time.hpp>

#include <boost/test/unit_test.hpp>

namespace base = rattanbay::base;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(answer_time)

// Guards against an answer that is due when its client stops waiting, and against a margin that uses up a
// short wait or a large part of a long one.
BOOST_AUTO_TEST_CASE(an_answer_is_due_before_its_sender_stops_waiting) {
    BOOST_CHECK(base::time_to_answer(15s) == 14900ms);
    BOOST_CHECK(base::time_to_answer(1s) == 950ms);
    BOOST_CHECK(base::time_to_answer(20ms) == 19ms);
    BOOST_CHECK(base::time_to_answer(0ms) == 0ms);
    BOOST_CHECK(base::time_to_answer(-5ms) == -5ms);
}

BOOST_AUTO_TEST_SUITE_END()
