#pragma once

#include <rattanbay/base/time.hpp>
#include <rattanbay/pipeline/execution.hpp>

#include <cstddef>
#include <vector>

namespace rattanbay::pipeline::internal {

/// Divides the time until a deadline among the remaining stages.
class deadline_shares {
public:
    explicit deadline_shares(std::vector<service_times> times);

    /// Sum of the p50 latencies of `stage` and all later stages; 0 after the last stage.
    base::duration min_remaining_time(std::size_t stage) const;

    /// Part of `remaining` allotted to `stage`, in proportion to the p90 latencies of the remaining
    /// stages. Without measured latencies all parts are equal.
    base::duration stage_budget(std::size_t stage, base::duration remaining) const;

    /// Delay after which an attempt of `stage` is hedged; 0 if the latency was not measured.
    base::duration hedge_delay(std::size_t stage) const;

private:
    std::vector<service_times> times_;
};

} // namespace rattanbay::pipeline::internal
