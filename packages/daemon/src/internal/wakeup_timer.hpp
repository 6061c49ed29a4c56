#pragma once

#include "clock.hpp"

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>

namespace rattanbay::daemon::internal {

namespace asio = boost::asio;

/// Timer that calls back at the `next_wakeup` of a state machine.
class wakeup_timer {
public:
    wakeup_timer(const asio::any_io_executor& executor, std::function<void()> on_wakeup)
        : timer_(executor)
        , on_wakeup_(std::move(on_wakeup)) {}

    /// Sets the expiry time, replacing an earlier one. The delay is at least 1 ms, so that a state machine
    /// that repeatedly requests an immediate wakeup does not starve other work.
    void set(base::time_point at) {
        constexpr std::chrono::milliseconds min_delay{1};
        const base::time_point min_expiry = now() + min_delay;
        timer_.expires_at(to_steady(std::max(at, min_expiry)));
        timer_.async_wait([this](const boost::system::error_code& ec) {
            if (!ec) {
                on_wakeup_();
            }
        });
    }

    void cancel() { timer_.cancel(); }

private:
    asio::steady_timer timer_;
    std::function<void()> on_wakeup_;
};

} // namespace rattanbay::daemon::internal
