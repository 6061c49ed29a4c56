#pragma once

#include <rattanbay/base/time.hpp>

#include <cstddef>

namespace rattanbay::emulator {

/// Token times of a model engine with continuous batching: all running streams share each step of
/// the accelerator, so the step time grows with the number of streams.
struct batch_timing {
    /// Time from the assignment of a slot to the first token.
    base::duration time_to_first_token = std::chrono::milliseconds(30);
    /// Time per token when a single stream runs.
    base::duration time_per_token = std::chrono::milliseconds(5);
    /// Fraction of `time_per_token` that each additional running stream adds to a step.
    double slowdown_per_stream = 0.05;

    /// Time per token with this number of running streams.
    base::duration token_interval(std::size_t running_streams) const;
};

} // namespace rattanbay::emulator
