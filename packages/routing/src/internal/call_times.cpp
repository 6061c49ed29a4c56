#include <internal/call_times.hpp>

#include <algorithm>

namespace rattanbay::routing::internal {

void call_times::record(base::duration sample) {
    const std::uint64_t n = sample_count_.fetch_add(1, std::memory_order_relaxed) + 1;
    // 0 marks a slot without a sample.
    samples_[n % window_size].store(std::max<std::int64_t>(sample.count(), 1), std::memory_order_relaxed);
    if (n % samples_per_update != 0 || updating_.test_and_set(std::memory_order_acquire)) {
        return;
    }
    update(static_cast<std::size_t>(std::min<std::uint64_t>(n, window_size)));
    updating_.clear(std::memory_order_release);
}

void call_times::update(std::size_t max_samples) {
    std::array<std::int64_t, window_size> sorted{};
    std::size_t size = 0;
    for (const std::atomic<std::int64_t>& slot : samples_) {
        const std::int64_t value = slot.load(std::memory_order_relaxed);
        if (value > 0 && size < max_samples) {
            sorted[size++] = value;
        }
    }
    std::sort(sorted.begin(), sorted.begin() + static_cast<std::ptrdiff_t>(size));
    constexpr std::size_t percent = 100;
    p50_.store(sorted[size * 50 / percent], std::memory_order_relaxed);
    p90_.store(sorted[size * 90 / percent], std::memory_order_relaxed);
    p95_.store(sorted[size * 95 / percent], std::memory_order_release);
}

pipeline::service_times call_times::percentiles() const {
    const base::duration p95(p95_.load(std::memory_order_acquire));
    const base::duration p90(p90_.load(std::memory_order_relaxed));
    const base::duration p50(p50_.load(std::memory_order_relaxed));
    return {p50, p90, p95};
}

} // namespace rattanbay::routing::internal
