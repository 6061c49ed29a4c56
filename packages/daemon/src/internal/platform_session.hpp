#pragma once

#include "peer_transport.hpp"

#include <rattanbay/base/random_source.hpp>
#include <rattanbay/daemon/platform_client.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <set>
#include <string_view>

namespace rattanbay::daemon::internal {

/// The platform calls of the control strand: whether the platform answers, and the delays of repeated calls.
class platform_session {
public:
    /// `on_recovered` is called when a call succeeds after others have failed.
    platform_session(platform_client& client, control_strand strand, std::uint64_t seed,
                     std::function<void()> on_recovered);

    asio::awaitable<object_api::answer> call(object_api::call request);

    /// Waits before a failed call is repeated, at most until the platform has answered another call.
    /// `failures` counts the consecutive failures of the call.
    asio::awaitable<void> back_off(std::string_view call_name, unsigned failures,
                                   const object_api::answer& answer);

    asio::awaitable<void> sleep_for(base::duration delay);

    /// Waits between half of the interval and one and a half times as long.
    asio::awaitable<void> sleep_about(base::duration interval);

    bool is_failing() const { return failing_; }

    /// Time of the last usable answer, or the start time if there was none.
    base::time_point last_answer() const { return last_answer_; }

private:
    void record_result(bool usable);

    platform_client& client_;
    control_strand strand_;
    base::random_source random_;
    std::function<void()> on_recovered_;
    base::time_point last_answer_;
    bool failing_ = false;
    /// Timers of the calls in `back_off`.
    std::set<asio::steady_timer*> delayed_calls_;
};

} // namespace rattanbay::daemon::internal
