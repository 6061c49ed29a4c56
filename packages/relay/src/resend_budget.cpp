#include <rattanbay/relay/resend_budget.hpp>

#include <cassert>

namespace rattanbay::relay {

namespace {

/// Fraction of the extra attempts that the daemons use. The rest is a margin, because the daemons do not know
/// their exact number while some of them start or stop.
constexpr double usable_extra_share = 0.6;

} // namespace

resend_budget::resend_budget(config::retry_budget_options limits)
    : limits_(limits) {}

void resend_budget::count_request(base::time_point now) {
    const std::lock_guard<std::mutex> lock(mutex_);
    requests_.push_back(now);
    remove_before(now - limits_.window);
}

bool resend_budget::try_spend(base::time_point now, std::size_t daemon_count) {
    assert(daemon_count > 0);
    const std::lock_guard<std::mutex> lock(mutex_);
    remove_before(now - limits_.window);
    const double limit = limits_.ratio * static_cast<double>(requests_.size()) +
                         limits_.extra_attempts * usable_extra_share / static_cast<double>(daemon_count);
    if (static_cast<double>(resends_.size() + 1) > limit) {
        return false;
    }
    resends_.push_back(now);
    return true;
}

void resend_budget::remove_before(base::time_point start) {
    while (!requests_.empty() && requests_.front() < start) {
        requests_.pop_front();
    }
    while (!resends_.empty() && resends_.front() < start) {
        resends_.pop_front();
    }
}

} // namespace rattanbay::relay
