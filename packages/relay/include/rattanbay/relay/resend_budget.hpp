#pragma once

#include <rattanbay/base/time.hpp>
#include <rattanbay/config/settings.hpp>

#include <cstddef>
#include <deque>
#include <mutex>

namespace rattanbay::relay {

/// Limits the attempts beyond the first of each request to one service. In every window of the configured
/// length, a daemon may make a fraction of the requests that it received in the window, plus its part of the
/// extra attempts that all daemons share. Thread-safe.
class resend_budget {
public:
    explicit resend_budget(config::retry_budget_options limits);

    /// Counts a request for the service.
    void count_request(base::time_point now);

    /// Takes one attempt beyond a request's first from the budget; returns false if the budget is exhausted.
    /// `daemon_count` is the number of daemons that share the extra attempts (at least 1).
    bool try_spend(base::time_point now, std::size_t daemon_count);

private:
    void remove_before(base::time_point start);

    const config::retry_budget_options limits_;
    std::mutex mutex_;
    std::deque<base::time_point> requests_;
    std::deque<base::time_point> resends_;
};

} // namespace rattanbay::relay
