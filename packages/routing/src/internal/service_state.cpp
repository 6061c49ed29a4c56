#include <internal/service_state.hpp>

#include <algorithm>

namespace rattanbay::routing::internal {

namespace {

constexpr base::duration initial_backoff = std::chrono::milliseconds(250);
/// The back-off doubles with each consecutive ejection, up to 8 s at the sixth.
constexpr unsigned max_backoff_shift = 5;
/// Endpoints with a higher failure rate are ejected.
constexpr double ejection_failure_rate = 0.5;
/// Failure rate after a successful probe: one more failure ejects the endpoint again, while successes reduce
/// the rate.
constexpr double reinstated_failure_rate = 0.4;

base::duration backoff(unsigned consecutive_ejections) {
    return initial_backoff * (1U << std::min(consecutive_ejections, max_backoff_shift));
}

bool is_ejected(const endpoint_state& endpoint) {
    return endpoint.ejected_until_us.load(std::memory_order_acquire) != 0;
}

} // namespace

void service_state::set_endpoint_count(std::size_t count) {
    const std::lock_guard lock(ejection_mutex_);
    endpoint_count_ = count;
}

void service_state::record_failure(endpoint_state& endpoint, bool refused, base::time_point now) {
    const double rate = endpoint.record_outcome(true);
    const std::lock_guard lock(ejection_mutex_);
    // A refused connection cannot be caused by the content of a request, so it is exempt from the limit.
    const bool within_limit =
        refused || endpoint.counts_towards_limit || 2 * (ejected_count_ + 1) <= endpoint_count_;
    if (is_ejected(endpoint)) {
        // Only the probe may end or extend an ejection; other calls were sent before the ejection.
        if (!endpoint.probe_in_flight.exchange(false)) {
            return;
        }
        if (within_limit) {
            eject(endpoint, refused, now);
        } else {
            reinstate(endpoint, now);
        }
        return;
    }
    if (refused || (rate > ejection_failure_rate && within_limit)) {
        // An endpoint that fails again soon after its reinstatement continues with the previous back-off.
        const base::duration stable_period = 2 * backoff(endpoint.consecutive_ejections);
        const bool recently_reinstated =
            endpoint.reinstated_at != base::time_point{} && now - endpoint.reinstated_at < stable_period;
        endpoint.consecutive_ejections = recently_reinstated ? endpoint.consecutive_ejections : 0;
        eject(endpoint, refused, now);
    }
}

void service_state::record_success(endpoint_state& endpoint, base::time_point now) {
    endpoint.record_outcome(false);
    if (!is_ejected(endpoint)) {
        return;
    }
    const std::lock_guard lock(ejection_mutex_);
    if (is_ejected(endpoint) && endpoint.probe_in_flight.exchange(false)) {
        reinstate(endpoint, now);
    }
}

void service_state::record_cancellation(endpoint_state& endpoint, base::time_point now) {
    if (!is_ejected(endpoint)) {
        return;
    }
    const std::lock_guard lock(ejection_mutex_);
    if (is_ejected(endpoint) && endpoint.probe_in_flight.exchange(false)) {
        endpoint.ejected_until_us.store(now.time_since_epoch().count());
    }
}

void service_state::reset_endpoint(endpoint_state& endpoint) {
    const std::lock_guard lock(ejection_mutex_);
    ejected_count_ -= endpoint.counts_towards_limit ? 1 : 0;
    endpoint.reset();
}

std::size_t service_state::ejected_count() const {
    const std::lock_guard lock(ejection_mutex_);
    return ejected_count_;
}

void service_state::eject(endpoint_state& endpoint, bool refused, base::time_point now) {
    if (!refused && !endpoint.counts_towards_limit) {
        endpoint.counts_towards_limit = true;
        ++ejected_count_;
    }
    const base::time_point until = now + backoff(endpoint.consecutive_ejections);
    endpoint.consecutive_ejections = std::min(endpoint.consecutive_ejections + 1, max_backoff_shift);
    endpoint.ejected_until_us.store(until.time_since_epoch().count(), std::memory_order_release);
}

void service_state::reinstate(endpoint_state& endpoint, base::time_point now) {
    if (endpoint.counts_towards_limit) {
        endpoint.counts_towards_limit = false;
        --ejected_count_;
    }
    endpoint.reinstated_at = now;
    endpoint.failure_rate.store(reinstated_failure_rate, std::memory_order_relaxed);
    endpoint.ejected_until_us.store(0, std::memory_order_release);
}

} // namespace rattanbay::routing::internal
