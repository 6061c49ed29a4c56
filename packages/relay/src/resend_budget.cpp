#include <rattanbay/relay/resend_budget.hpp>

#include <cassert>

namespace rattanbay::relay {

namespace {

/// Share of the extra attempts that is handed out. The daemons do not know exactly how many they
/// are while some of them start or stop.
constexpr double extra_in_use = 0.6;

} // namespace

resend_budget::resend_budget(config::retry_budget_options limits)
    : limits_(limits) {}

void resend_budget::count_request(base::time_point now) {
    const std::lock_guard<std::mutex> lock(mutex_);
    requests_.push_back(now);
    forget_before(now - limits_.window);
}

bool resend_budget::try_spend(base::time_point now, std::size_t daemons) {
    assert(daemons > 0);
    const std::lock_guard<std::mutex> lock(mutex_);
    forget_before(now - limits_.window);
    const double bound = limits_.ratio * static_cast<double>(requests_.size()) +
                         limits_.extra_attempts * extra_in_use / static_cast<double>(daemons);
    if (static_cast<double>(spent_.size() + 1) > bound) {
        return false;
    }
    spent_.push_back(now);
    return true;
}

void resend_budget::forget_before(base::time_point start) {
    while (!requests_.empty() && requests_.front() < start) {
        requests_.pop_front();
    }
    while (!spent_.empty() && spent_.front() < start) {
        spent_.pop_front();
    }
}

} // namespace rattanbay::relay
