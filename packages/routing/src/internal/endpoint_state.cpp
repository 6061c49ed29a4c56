#include <internal/endpoint_state.hpp>

#include <algorithm>
#include <cmath>

namespace rattanbay::routing::internal {

namespace {

/// Weight of a new sample in the moving average of the latency.
constexpr double latency_ewma_weight = 0.2;
/// Weight of a new outcome in the failure rate. With 0.25, three consecutive failures raise the rate above
/// one half, the threshold of ejection.
constexpr double outcome_ewma_weight = 0.25;
/// Time constant with which a mean latency decays to the typical latency. A slow endpoint that is no longer
/// selected is not measured either; the decay makes it eligible again.
constexpr double mean_latency_time_constant_us = 10e6;
/// Time after which another probe replaces one that was claimed but has not ended.
constexpr base::duration probe_timeout = std::chrono::seconds(10);

/// Adds a sample to an exponentially weighted moving average and returns the new value. If
/// `zero_is_unset`, the sample replaces an average of 0.
double update_ewma(std::atomic<double>& average, double sample, double weight, bool zero_is_unset) {
    double old = average.load(std::memory_order_relaxed);
    double next = 0;
    do {
        next = zero_is_unset && old == 0 ? sample : old + weight * (sample - old);
    } while (!average.compare_exchange_weak(old, next, std::memory_order_relaxed));
    return next;
}

double age_us(base::time_point now, std::int64_t since_us) {
    return static_cast<double>(std::max<std::int64_t>(0, now.time_since_epoch().count() - since_us));
}

} // namespace

void endpoint_state::increment_outstanding() {
    outstanding.fetch_add(1, std::memory_order_relaxed);
}

void endpoint_state::decrement_outstanding() {
    std::int64_t count = outstanding.load(std::memory_order_relaxed);
    while (count > 0 && !outstanding.compare_exchange_weak(count, count - 1, std::memory_order_relaxed)) {
    }
}

void endpoint_state::record_latency(base::duration latency, base::time_point now) {
    const double sample = static_cast<double>(std::max<std::int64_t>(latency.count(), 1));
    update_ewma(mean_latency_us, sample, latency_ewma_weight, true);
    measured_at_us.store(now.time_since_epoch().count(), std::memory_order_relaxed);
}

void endpoint_state::record_load(double other_calls, base::time_point as_of) {
    reported_load.store(other_calls, std::memory_order_relaxed);
    reported_at_us.store(as_of.time_since_epoch().count(), std::memory_order_relaxed);
}

double endpoint_state::record_outcome(bool failed) {
    if (!failed && failure_rate.load(std::memory_order_relaxed) == 0) {
        return 0;
    }
    return update_ewma(failure_rate, failed ? 1 : 0, outcome_ewma_weight, false);
}

double endpoint_state::expected_latency_us(double typical_us, base::time_point now) const {
    const double mean_us = mean_latency_us.load(std::memory_order_relaxed);
    if (mean_us == 0) {
        return typical_us;
    }
    const double elapsed_us = age_us(now, measured_at_us.load(std::memory_order_relaxed));
    return typical_us + (mean_us - typical_us) * std::exp(-elapsed_us / mean_latency_time_constant_us);
}

double endpoint_state::decayed_load(double typical_us, base::time_point now) const {
    const double calls = reported_load.load(std::memory_order_relaxed);
    if (calls == 0) {
        return 0;
    }
    return calls *
           std::exp(-age_us(now, reported_at_us.load(std::memory_order_relaxed)) / std::max(typical_us, 1.0));
}

bool endpoint_state::claim_probe(base::time_point now) {
    std::int64_t until_us = ejected_until_us.load(std::memory_order_acquire);
    const std::int64_t now_us = now.time_since_epoch().count();
    if (until_us == 0 || until_us > now_us) {
        return false;
    }
    if (!ejected_until_us.compare_exchange_strong(until_us, now_us + probe_timeout.count())) {
        return false;
    }
    probe_in_flight.store(true, std::memory_order_release);
    return true;
}

void endpoint_state::reset() {
    mean_latency_us = 0;
    failure_rate = 0;
    reported_load = 0;
    leaving = false;
    ejected_until_us = 0;
    probe_in_flight = false;
    consecutive_ejections = 0;
    counts_towards_limit = false;
    reinstated_at = {};
}

} // namespace rattanbay::routing::internal
