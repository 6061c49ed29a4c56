#pragma once

#include <rattanbay/base/time.hpp>

#include <boost/asio/awaitable.hpp>

namespace rattanbay::emulator::internal {

/// Current time of the monotonic clock.
base::time_point now();

/// Suspends the coroutine for a duration.
boost::asio::awaitable<void> sleep_for(base::duration wait);

} // namespace rattanbay::emulator::internal
