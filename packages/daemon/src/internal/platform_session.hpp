#pragma once

#include "peer_transport.hpp"

#include <rattanbay/base/random_source.hpp>
#include <rattanbay/daemon/platform_client.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <set>
#include <string_view>
#include <vector>

namespace rattanbay::daemon::internal {

/// The platform calls of the control strand: whether the platform answers, and the delays of repeated calls.
class platform_session {
public:
    /// `on_recovered` is called when a call succeeds after others have failed.
    platform_session(platform_client& client, control_strand strand, std::uint64_t seed,
                     std::function<void()> on_recovered);

    /// Makes a call. An answer of a former era of the store, which arrives late, is returned as `failed`.
    asio::awaitable<object_api::answer> call(object_api::call request);

    /// Era of the store: how often it came back from a copy; 0 before the first answer and on platforms that
    /// never do. After `call` has returned an answer, this is the era of that answer.
    std::uint64_t era() const { return era_; }

    /// Registers a function that is called once for each new era after the first one, on the control strand
    /// and before the answer that showed it is returned.
    void on_new_era(std::function<void()> observer) { era_observers_.push_back(std::move(observer)); }

    /// Waits for a random time below `max_delay`, so that daemons do not all call at once.
    asio::awaitable<void> sleep_below(base::duration max_delay);

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
    void record_era(std::uint64_t era, const object_api::call& request);

    platform_client& client_;
    control_strand strand_;
    base::random_source random_;
    std::function<void()> on_recovered_;
    base::time_point last_answer_;
    bool failing_ = false;
    std::uint64_t era_ = 0;
    std::vector<std::function<void()>> era_observers_;
    /// Timers of the calls in `back_off`.
    std::set<asio::steady_timer*> delayed_calls_;
};

} // namespace rattanbay::daemon::internal
