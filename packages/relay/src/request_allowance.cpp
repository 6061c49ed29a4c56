#include <rattanbay/relay/request_allowance.hpp>

#include <algorithm>

namespace rattanbay::relay {

namespace {

constexpr double max_tokens = 1;
/// Absorbs rounding, so that a timer set to `time_to_next` finds a whole token.
constexpr double rounding_margin = 1e-6;

} // namespace

request_allowance::request_allowance(double requests_per_second, base::time_point now)
    : rate_(requests_per_second)
    , updated_(now) {}

double request_allowance::tokens_at(base::time_point now) const {
    const double seconds = std::max(0.0, std::chrono::duration<double>(now - updated_).count());
    return std::min(max_tokens, tokens_ + rate_ * seconds);
}

void request_allowance::set_rate(double requests_per_second, base::time_point now) {
    tokens_ = tokens_at(now);
    updated_ = now;
    rate_ = requests_per_second;
}

bool request_allowance::is_available(base::time_point now) const {
    return rate_ > 0 && tokens_at(now) >= 1 - rounding_margin;
}

void request_allowance::take(base::time_point now) {
    tokens_ = std::max(0.0, tokens_at(now) - 1);
    updated_ = now;
}

std::optional<base::duration> request_allowance::time_to_next(base::time_point now) const {
    if (rate_ <= 0) {
        return std::nullopt;
    }
    const double missing = std::max(0.0, 1 - tokens_at(now));
    return std::chrono::duration_cast<base::duration>(std::chrono::duration<double>(missing / rate_));
}

} // namespace rattanbay::relay
