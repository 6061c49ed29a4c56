#include "internal/clock.hpp"

#include <boost/test/unit_test.hpp>

namespace base = rattanbay::base;
namespace internal = rattanbay::daemon::internal;

BOOST_AUTO_TEST_SUITE(clock_conversion)

// The maximum time point stands for "never". Its conversion used to overflow, so the timer expired
// immediately and an idle daemon used 69% of a core.
BOOST_AUTO_TEST_CASE(the_maximum_time_stays_in_the_future) {
    const base::time_point soon = internal::now() + std::chrono::hours(1);
    BOOST_CHECK(internal::to_steady(base::time_point::max()) > internal::to_steady(soon));
    BOOST_CHECK(internal::to_steady(soon) > std::chrono::steady_clock::now());
}

BOOST_AUTO_TEST_SUITE_END()
