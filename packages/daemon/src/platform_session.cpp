#include "internal/platform_session.hpp"

#include "internal/clock.hpp"

#include <rattanbay/telemetry.hpp>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace rattanbay::daemon::internal {

namespace {

constexpr std::chrono::milliseconds min_backoff{200};
/// Bounds the time until a daemon finds that the platform answers again.
constexpr std::chrono::seconds max_backoff{2};

/// Name of a call's kind for the log.
struct call_name {
    std::string operator()(const object_api::read_object&) const { return "read"; }

    std::string operator()(const object_api::write_object&) const { return "write"; }

    std::string operator()(const object_api::delete_object&) const { return "delete"; }

    std::string operator()(const object_api::list_objects&) const { return "list"; }

    std::string operator()(const object_api::watch_object&) const { return "watch"; }

    std::string operator()(const object_api::list_vms&) const { return "list_vms"; }

    std::string operator()(const object_api::watch_vms&) const { return "watch_vms"; }

    std::string operator()(const object_api::watch_names&) const { return "watch_names"; }
};

} // namespace

platform_session::platform_session(platform_client& client, control_strand strand, std::uint64_t seed,
                                   std::function<void()> on_recovered)
    : client_(client)
    , strand_(strand)
    , random_(seed)
    , on_recovered_(std::move(on_recovered))
    , last_answer_(now()) {}

asio::awaitable<object_api::answer> platform_session::call(object_api::call request) {
    platform_client::dated_answer out = co_await client_.call_dated(strand_, request);
    record_result(!std::holds_alternative<object_api::failed>(out.answer));
    if (out.era != 0 && out.era < era_) {
        co_return object_api::failed{
            base::error{base::error_code::unavailable, "the answer is of era " + std::to_string(out.era) +
                                                           ", the store is in era " + std::to_string(era_)}};
    }
    record_era(out.era, request);
    co_return std::move(out.answer);
}

asio::awaitable<void> platform_session::back_off(std::string_view call_name, unsigned failures,
                                                 const object_api::answer& answer) {
    constexpr unsigned max_doublings = 6;
    const base::duration max_delay =
        std::min<base::duration>(min_backoff * (1U << std::min(failures - 1, max_doublings)), max_backoff);
    // Full jitter, so that the daemons do not all retry at once when the platform recovers.
    const base::duration delay(random_.below(static_cast<std::uint64_t>(max_delay.count())));
    const object_api::failed* const failure = std::get_if<object_api::failed>(&answer);
    telemetry::log(telemetry::log_event::platform_call_delayed,
                   {{"call", std::string(call_name)},
                    {"failures", std::to_string(failures)},
                    {"delay_ms", std::to_string(base::to_milliseconds(delay))},
                    {"reason", failure != nullptr ? failure->reason.message : "not found or stale"}});
    asio::steady_timer timer(strand_, std::max<base::duration>(delay, std::chrono::milliseconds(10)));
    delayed_calls_.insert(&timer);
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    delayed_calls_.erase(&timer);
}

asio::awaitable<void> platform_session::sleep_for(base::duration delay) {
    asio::steady_timer timer(strand_, delay);
    boost::system::error_code ec;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

asio::awaitable<void> platform_session::sleep_about(base::duration interval) {
    const std::int64_t jitter =
        static_cast<std::int64_t>(random_.below(static_cast<std::uint64_t>(interval.count())));
    co_await sleep_for(interval / 2 + base::duration(jitter));
}

asio::awaitable<void> platform_session::sleep_below(base::duration max_delay) {
    co_await sleep_for(base::duration(random_.below(static_cast<std::uint64_t>(max_delay.count()))));
}

void platform_session::record_era(std::uint64_t era, const object_api::call& request) {
    const std::uint64_t previous = era_;
    if (era <= previous) {
        return;
    }
    era_ = era;
    if (previous == 0) {
        return;
    }
    telemetry::log(telemetry::log_event::store_restored, {{"era_before", std::to_string(previous)},
                                                          {"era", std::to_string(era)},
                                                          {"call", std::visit(call_name{}, request)}});
    for (const std::function<void()>& observer : era_observers_) {
        observer();
    }
}

void platform_session::record_result(bool usable) {
    if (usable) {
        last_answer_ = now();
    }
    if (usable != failing_) {
        return;
    }
    failing_ = !usable;
    if (usable) {
        on_recovered_();
        for (asio::steady_timer* const timer : delayed_calls_) {
            timer->cancel();
        }
    }
    telemetry::log(usable ? telemetry::log_event::platform_recovered : telemetry::log_event::platform_failing,
                   {});
}

} // namespace rattanbay::daemon::internal
