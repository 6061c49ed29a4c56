#pragma once

#include <rattanbay/base/random_source.hpp>
#include <rattanbay/base/time.hpp>

#include <cstdint>

namespace rattanbay::emulator {

/// Random service times with uniform jitter.
class service_time_distribution {
public:
    /// Times are uniform in [mean - mean * jitter, mean + mean * jitter]; `jitter` is in [0, 1].
    service_time_distribution(base::duration mean, double jitter, std::uint64_t seed)
        : mean_(mean)
        , jitter_(jitter)
        , random_(seed) {}

    /// Draws the service time of a call.
    base::duration draw();

private:
    base::duration mean_;
    double jitter_;
    base::random_source random_;
};

} // namespace rattanbay::emulator
