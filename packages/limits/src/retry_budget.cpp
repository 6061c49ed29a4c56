#include <rattanbay/limits/retry_budget.hpp>

#include <algorithm>
#include <cassert>

namespace rattanbay::limits {

namespace {

constexpr base::duration window_length = std::chrono::seconds(1);
constexpr std::uint64_t min_retries = 3;
constexpr std::uint64_t calls_per_retry = 10;
/// Threads read the clock before they call, so a time can lie some windows back. Up to this many windows it
/// is counted in the stored window, because switching back would reset that window's counters.
constexpr std::uint64_t max_late_windows = 60;

/// Fraction of the default limit that hedges may use at cost weight 0.
constexpr double max_hedge_share = 0.5;

constexpr unsigned field_bits = 16;
constexpr std::uint64_t max_field_value = (1U << field_bits) - 1;

/// Counters of one window; they saturate at 65,535. The window number wraps around after 18 hours, so a
/// stored window is mistaken for a later one of the same number if nothing was counted in between.
struct window {
    std::uint64_t number = 0;
    std::uint64_t calls = 0;
    std::uint64_t successes = 0;
    std::uint64_t spent = 0;
};

window unpack(std::uint64_t packed) {
    return {packed >> (3 * field_bits), (packed >> (2 * field_bits)) & max_field_value,
            (packed >> field_bits) & max_field_value, packed & max_field_value};
}

std::uint64_t pack(const window& value) {
    return (value.number << (3 * field_bits)) | (value.calls << (2 * field_bits)) |
           (value.successes << field_bits) | value.spent;
}

/// Returns the stored window, or a new one if `now` lies in a later window. The directly following window
/// starts with the successes that funded no retry; otherwise retries early in a window would find an empty
/// budget. The carried successes are limited to the calls of their window, so that a long quiet period does
/// not fund a burst.
window window_at(std::uint64_t packed, base::time_point now) {
    const auto number = static_cast<std::uint64_t>(now.time_since_epoch() / window_length) & max_field_value;
    window stored = unpack(packed);
    if (((stored.number - number) & max_field_value) > max_late_windows) {
        const bool is_next = ((number - stored.number) & max_field_value) == 1;
        const std::uint64_t unused = stored.successes - std::min(stored.successes, stored.spent);
        stored = {number, 0, is_next ? std::min(unused, stored.calls) : 0, 0};
    }
    return stored;
}

std::uint64_t limit(const window& counted, retry_cause cause, double hedge_share) {
    const std::uint64_t default_limit = std::max(min_retries, counted.calls / calls_per_retry);
    switch (cause) {
    case retry_cause::hedge:
        return static_cast<std::uint64_t>(static_cast<double>(default_limit) * hedge_share);
    case retry_cause::no_response:
        return default_limit;
    case retry_cause::failure_reported:
        return std::max(default_limit, counted.successes);
    }
    return 0;
}

void increment(std::atomic<std::uint64_t>& stored, base::time_point now, std::uint64_t window::*field) {
    std::uint64_t packed = stored.load(std::memory_order_relaxed);
    std::uint64_t next = 0;
    do {
        window counted = window_at(packed, now);
        counted.*field = std::min(counted.*field + 1, max_field_value);
        next = pack(counted);
    } while (!stored.compare_exchange_weak(packed, next, std::memory_order_relaxed));
}

} // namespace

void retry_budget::set_cost_weight(double weight) {
    assert(weight >= 0 && weight <= 1);
    hedge_share_.store(max_hedge_share * (1 - weight), std::memory_order_relaxed);
}

void retry_budget::count_call(base::time_point now) {
    increment(window_, now, &window::calls);
}

void retry_budget::count_success(base::time_point now) {
    increment(window_, now, &window::successes);
}

bool retry_budget::try_spend(base::time_point now, retry_cause cause) {
    const double hedge_share = hedge_share_.load(std::memory_order_relaxed);
    std::uint64_t packed = window_.load(std::memory_order_relaxed);
    std::uint64_t next = 0;
    do {
        window counted = window_at(packed, now);
        if (counted.spent >= std::min(limit(counted, cause, hedge_share), max_field_value)) {
            return false;
        }
        ++counted.spent;
        next = pack(counted);
    } while (!window_.compare_exchange_weak(packed, next, std::memory_order_relaxed));
    return true;
}

} // namespace rattanbay::limits
