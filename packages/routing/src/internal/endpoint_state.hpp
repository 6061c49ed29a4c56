#pragma once

#include <rattanbay/base/time.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>

namespace rattanbay::routing::internal {

constexpr std::size_t cache_line_bytes = 64;

/// Measurements and ejection state of one endpoint. The atomic members may be read and written by any
/// thread; points in time are microseconds since the epoch of `base::monotonic_clock`.
struct alignas(cache_line_bytes) endpoint_state {
    /// Calls of this VM in progress at the endpoint.
    std::atomic<std::int64_t> outstanding{0};
    /// Moving average of the latency of successful calls, including the network round trip; 0 until measured.
    std::atomic<double> mean_latency_us{0};
    std::atomic<std::int64_t> measured_at_us{0};
    /// Moving average of outcomes: 1 for a failure, 0 for a success.
    std::atomic<double> failure_rate{0};
    /// Calls of other VMs in the latest load report of the endpoint.
    std::atomic<double> reported_load{0};
    std::atomic<std::int64_t> reported_at_us{0};
    /// The endpoint announced that it is leaving.
    std::atomic<bool> leaving{false};

    /// End of the ejection; 0 if the endpoint is not ejected.
    std::atomic<std::int64_t> ejected_until_us{0};
    /// A probe, that is, a call sent to the ejected endpoint, has not ended.
    std::atomic<bool> probe_in_flight{false};

    // The members below are guarded by `service_state::ejection_mutex_`.

    /// Number of consecutive ejections, which determines the back-off.
    unsigned consecutive_ejections = 0;
    /// Whether this ejection counts towards the limit on ejections caused by failures.
    bool counts_towards_limit = false;
    base::time_point reinstated_at{};

    void increment_outstanding();
    void decrement_outstanding();
    void record_latency(base::duration latency, base::time_point now);
    /// Stores the number of calls of other VMs at the time `as_of`.
    void record_load(double other_calls, base::time_point as_of);

    /// Adds an outcome and returns the new failure rate.
    double record_outcome(bool failed);

    /// Mean latency of a call in microseconds. It decays towards `typical_us` with the time since the last
    /// measurement.
    double expected_latency_us(double typical_us, base::time_point now) const;

    /// Calls of other VMs, with an exponential decay whose time constant is the typical call time
    /// `typical_us`. An old report counts calls that have ended meanwhile; without the decay, all VMs would
    /// avoid the same endpoints for too long.
    double decayed_load(double typical_us, base::time_point now) const;

    /// Claims the single probe that is allowed after the back-off. Returns false if the endpoint is not due
    /// for a probe or another thread claimed it.
    bool claim_probe(base::time_point now);

    /// Resets everything except the calls in progress, after the endpoint was replaced or removed.
    void reset();
};

} // namespace rattanbay::routing::internal
