#pragma once

#include <rattanbay/base/time.hpp>

#include <atomic>
#include <cstdint>

namespace rattanbay::limits {

/// Why a request is attempted again.
enum class retry_cause {
    /// The previous attempt is slow and still in progress.
    hedge,
    /// The previous attempt got no response, as happens under overload.
    no_response,
    /// The endpoint responded with a failure or refused the connection.
    failure_reported,
};

/// Limits the retries and hedges of one service in each window of one second. The limit depends on the
/// cause, and all retries and hedges of the window count against it:
/// - no_response: 10% of the calls, at least 3
/// - hedge: half of that, reduced in proportion to the cost weight
/// - failure_reported: the limit for no_response or the number of successful attempts, whichever is larger.
///   Successes that funded no retry carry over to the next window, up to the calls of their own window.
///   Nearly all failures of a partly failing service can thus be retried, while a service that fails
///   entirely gets little additional load.
///
/// Thread-safe.
class retry_budget {
public:
    /// Sets the cost weight of the document, from 0 (the default) to 1. Hedges spend endpoint time to reduce
    /// latency, so a weight of 1 disables them.
    void set_cost_weight(double weight);

    /// Counts a first attempt.
    void count_call(base::time_point now);

    /// Counts an attempt that succeeded.
    void count_success(base::time_point now);

    /// Takes one retry or hedge from the budget; returns false if the budget is exhausted.
    bool try_spend(base::time_point now, retry_cause cause = retry_cause::no_response);

private:
    /// Window number and three counters packed into 64 bits, so that they change atomically.
    std::atomic<std::uint64_t> window_{0};
    std::atomic<double> hedge_share_{0.5};
};

} // namespace rattanbay::limits
