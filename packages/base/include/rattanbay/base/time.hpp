#pragma once

#include <chrono>
#include <cstdint>

namespace rattanbay::base {

using namespace std::chrono_literals;

/// Resolution of all durations.
using duration = std::chrono::microseconds;

/// Monotonic clock of one process. It has no `now()`: the calling code passes the current time, so that
/// tests and replays can control it.
struct monotonic_clock {
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<monotonic_clock>;
    static constexpr bool is_steady = true;
};

/// Time point of the monotonic clock; not comparable between processes.
using time_point = monotonic_clock::time_point;

/// Converts a duration to milliseconds, including fractions.
constexpr double to_milliseconds(duration value) {
    constexpr double microseconds_per_millisecond = 1000.0;
    return static_cast<double>(value.count()) / microseconds_per_millisecond;
}

/// Converts a count of milliseconds to a duration.
constexpr duration from_milliseconds(std::int64_t count) {
    return std::chrono::milliseconds(count);
}

} // namespace rattanbay::base
