#pragma once

#include <rattanbay/base/time.hpp>
#include <rattanbay/config/settings.hpp>

#include <cstddef>
#include <deque>
#include <mutex>

namespace rattanbay::relay {

/// Bounds the attempts beyond the first of each request at one service. The bound holds for every
/// window of the given length: a share of the requests that this daemon took in it, and this daemon's
/// part of what all daemons may add. Any number of threads may use it.
class resend_budget {
public:
    explicit resend_budget(config::retry_budget_options limits);

    /// Counts a request for the service.
    void count_request(base::time_point now);

    /// Takes one attempt beyond a request's first from the budget; false when it is spent. `daemons`
    /// is the number of daemons that share the extra attempts, at least 1.
    bool try_spend(base::time_point now, std::size_t daemons);

private:
    void forget_before(base::time_point start);

    const config::retry_budget_options limits_;
    std::mutex mutex_;
    std::deque<base::time_point> requests_;
    std::deque<base::time_point> spent_;
};

} // namespace rattanbay::relay
