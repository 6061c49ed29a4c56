#pragma once

#include <rattanbay/base/time.hpp>

#include <chrono>

namespace rattanbay::daemon::internal {

/// Converts a time of the steady clock to the form used by the decision logic.
inline base::time_point from_steady(std::chrono::steady_clock::time_point at) {
    return base::time_point(std::chrono::duration_cast<base::duration>(at.time_since_epoch()));
}

/// Current time of the steady clock, as passed to the decision logic.
inline base::time_point now() {
    return from_steady(std::chrono::steady_clock::now());
}

/// Converts a time point for use with a timer. State machines without a pending wakeup return the maximum
/// time point, which overflows the steady clock's nanoseconds, so the result saturates at its maximum.
inline std::chrono::steady_clock::time_point to_steady(base::time_point at) {
    using steady = std::chrono::steady_clock;
    if (at.time_since_epoch() >= std::chrono::duration_cast<base::duration>(steady::duration::max())) {
        return steady::time_point::max();
    }
    return steady::time_point(std::chrono::duration_cast<steady::duration>(at.time_since_epoch()));
}

} // namespace rattanbay::daemon::internal
