#pragma once

#include <rattanbay/base/random_source.hpp>
#include <rattanbay/base/time.hpp>

#include <algorithm>

namespace rattanbay::ledger::internal {

/// Exponential backoff with full jitter, which spreads the retries of all VMs when the platform recovers.
class backoff {
public:
    /// Number of consecutive failures.
    unsigned failures() const { return failures_; }

    /// Counts a failure and returns a random delay before the next attempt.
    base::duration next_delay(base::random_source& random) {
        constexpr base::duration initial_delay = std::chrono::milliseconds(200);
        constexpr base::duration max_delay = std::chrono::seconds(10);
        constexpr unsigned max_doublings = 6;
        const base::duration upper_bound =
            std::min(max_delay, initial_delay * (1U << std::min(failures_, max_doublings)));
        ++failures_;
        return base::duration(
            static_cast<base::duration::rep>(random.below(static_cast<std::uint64_t>(upper_bound.count()))));
    }

    /// Resets the failure count after a success.
    void reset() { failures_ = 0; }

private:
    unsigned failures_ = 0;
};

} // namespace rattanbay::ledger::internal
