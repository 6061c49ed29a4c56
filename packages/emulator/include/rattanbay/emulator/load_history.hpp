#pragma once

#include <rattanbay/base/time.hpp>

#include <cstddef>
#include <deque>

namespace rattanbay::emulator {

/// Load of an endpoint at a point in time.
struct load_sample {
    base::time_point at;
    std::size_t running = 0;
    std::size_t waiting = 0;
};

/// Load history that produces reports delayed by a lag.
class load_history {
public:
    explicit load_history(base::duration lag)
        : lag_(lag) {}

    /// Records the load from `sample.at` on. Samples must be recorded in chronological order.
    void record(load_sample sample);

    /// Returns the load one lag before `now`, zero if nothing was recorded by then. Its `at` is the
    /// time that the report describes.
    load_sample report(base::time_point now) const;

private:
    base::duration lag_;
    std::deque<load_sample> samples_;
};

} // namespace rattanbay::emulator
