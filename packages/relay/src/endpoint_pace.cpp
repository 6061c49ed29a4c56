#include <rattanbay/relay/endpoint_pace.hpp>

#include <algorithm>

namespace rattanbay::relay {

namespace {

/// Factor by which the share grows with an answer in time and falls with any other end of a call.
constexpr double step_factor = 2;

} // namespace

void endpoint_pace::record_answer(double relative_time) {
    // The comparison is false for a time that is no number.
    if (relative_time <= slow_factor) {
        share_ = std::min(1.0, share_ * step_factor);
    } else {
        record_failure();
    }
}

void endpoint_pace::record_failure() {
    share_ = std::max(min_share, share_ / step_factor);
}

} // namespace rattanbay::relay
