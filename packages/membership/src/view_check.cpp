#include <rattanbay/membership/view_check.hpp>

#include <algorithm>

namespace rattanbay::membership {

namespace {

/// Time in which a daemon that starts has learnt the members.
constexpr std::chrono::seconds settling_time{3};
/// Members that were lost for good are forgotten after one to two windows.
constexpr std::chrono::seconds peak_window{30};
/// Smallest part of the largest number of members that has to be seen, as its divisor.
constexpr std::size_t min_part_divisor = 3;

} // namespace

view_check::view_check(base::time_point start)
    : start_(start)
    , window_start_(start) {}

void view_check::record(std::size_t live_members, base::time_point now) {
    if (now - window_start_ >= peak_window) {
        earlier_peak_ = now - window_start_ >= 2 * peak_window ? 0 : peak_;
        peak_ = 0;
        window_start_ = now;
    }
    live_ = live_members;
    peak_ = std::max(peak_, live_members);
}

bool view_check::is_sufficient(bool has_seeds, base::time_point now) const {
    const bool is_alone = has_seeds && live_ <= 1;
    return now - start_ >= settling_time && !is_alone &&
           live_ * min_part_divisor > std::max(peak_, earlier_peak_);
}

} // namespace rattanbay::membership
