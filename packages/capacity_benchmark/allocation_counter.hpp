#pragma once

#include <cstddef>

namespace rattanbay::capacity_benchmark {

/// Returns the bytes currently allocated by operator new, including the allocator's rounding.
std::size_t live_bytes();

/// Returns the maximum of `live_bytes` since the last `reset_peak`.
std::size_t peak_bytes();

/// Resets the peak to the bytes currently allocated.
void reset_peak();

} // namespace rattanbay::capacity_benchmark
