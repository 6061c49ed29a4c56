#pragma once

#include <rattanbay/base/time.hpp>

#include <algorithm>

namespace rattanbay::base {

/// Upper bound on the time that is kept free for the way of a request and of its answer.
inline constexpr std::chrono::milliseconds max_transfer_time{100};
/// Part of a sender's wait that is kept free, as a divisor, where that is less than the upper bound.
inline constexpr int transfer_time_divisor = 20;

/// Time after its arrival within which a request has to be answered if its sender waits for `wait`. The
/// sender counts from the moment of sending, so an answer at the end of its wait would always come too late.
constexpr duration time_to_answer(duration wait) {
    const duration transfer_time = std::max(wait, duration::zero()) / transfer_time_divisor;
    return wait - std::min<duration>(transfer_time, max_transfer_time);
}

} // namespace rattanbay::base
