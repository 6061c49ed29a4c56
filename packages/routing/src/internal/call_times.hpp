#pragma once

#include <rattanbay/base/time.hpp>
#include <rattanbay/pipeline/execution.hpp>

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>

namespace rattanbay::routing::internal {

/// Percentiles over a sliding window of the most recent durations. Recording a sample is one store; every
/// 16th sample also sorts the window, unless another thread is sorting it. Reading is three loads.
class call_times {
public:
    void record(base::duration sample);

    /// Whether enough samples are recorded for percentiles.
    bool measured() const { return p95_.load(std::memory_order_acquire) > 0; }

    /// Returns the percentiles; zero until measured.
    pipeline::service_times percentiles() const;

private:
    static constexpr std::size_t window_size = 256;
    static constexpr std::uint64_t samples_per_update = 16;

    void update(std::size_t max_samples);

    std::array<std::atomic<std::int64_t>, window_size> samples_{};
    std::atomic<std::uint64_t> sample_count_{0};
    std::atomic_flag updating_;
    std::atomic<std::int64_t> p50_{0};
    std::atomic<std::int64_t> p90_{0};
    std::atomic<std::int64_t> p95_{0};
};

} // namespace rattanbay::routing::internal
