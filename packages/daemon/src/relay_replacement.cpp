#include "internal/clock.hpp"
#include "internal/guarded_loop.hpp"
#include "internal/relay_run.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace rattanbay::daemon::internal {

namespace {

/// Fraction of the remaining time that an attempt may be silent before its response begins.
constexpr double silence_fraction = 0.4;
/// Silence after which a stream is resumed at another endpoint, as a multiple of the maximum event gap.
constexpr int silence_limit_gaps = 4;
/// Time to read data that arrived while the thread was held: the timer of the silence and the data are ready
/// together then.
constexpr std::chrono::milliseconds unread_data_time{5};
/// Number of endpoints that are tried for a replacement if they cannot be reached.
constexpr std::size_t max_unreachable_endpoints = 3;
constexpr int min_server_error_status = 500;

std::string_view to_text(bool value) {
    return value ? "true" : "false";
}

} // namespace

std::optional<base::duration> relay_run::silence_limit(const relay_attempt& current) const {
    const base::duration left = remaining_time();
    std::optional<base::duration> limit;
    if (!current.first_byte && input_.route->retry != config::retry_mode::at_most_once) {
        limit = std::max(std::chrono::duration_cast<base::duration>(left * silence_fraction),
                         input_.route->latency_objective);
    } else if (current.first_byte && input_.route->retry == config::retry_mode::resumable &&
               input_.route->max_event_gap > base::duration::zero()) {
        limit = input_.route->max_event_gap * silence_limit_gaps;
    }
    return limit && *limit < left ? limit : std::nullopt;
}

void relay_run::watch_silence() {
    const std::optional<base::duration> limit = active_ ? silence_limit(*active_) : std::nullopt;
    if (!limit) {
        return;
    }
    silence_timer_.expires_after(*limit);
    silence_timer_.async_wait(
        [weak = weak_from_this(), progress = progress_](const boost::system::error_code& ec) {
            const std::shared_ptr<relay_run> run = weak.lock();
            if (!ec && run) {
                asio::co_spawn(
                    run->executor_, [run, progress]() { return run->replace_silent_attempt(progress); },
                    asio::detached);
            }
        });
}

void relay_run::stop_watch() {
    ++progress_;
    silence_timer_.cancel();
}

void relay_run::handle_progress() {
    stop_watch();
    cancel_replacement();
}

replacement_decision relay_run::decide_replacement() {
    if (has_used_attempts() || !may_run_elsewhere()) {
        return replacement_decision::no_attempt;
    }
    if (!can_have_inputs()) {
        return replacement_decision::no_time;
    }
    if (!choose_endpoint()) {
        return replacement_decision::no_endpoint;
    }
    // This may begin a trial of a prompt part, so it is asked after what needs no trial.
    if (is_quarantined()) {
        return replacement_decision::quarantined;
    }
    return spend_resend() ? replacement_decision::begun : replacement_decision::no_budget;
}

asio::awaitable<void> relay_run::replace_silent_attempt(std::uint64_t progress) {
    const std::shared_ptr<relay_run> self = shared_from_this();
    const std::shared_ptr<relay_attempt> silent = active_;
    if (!silent || progress != progress_ || replacement_) {
        co_return;
    }
    boost::system::error_code cancelled;
    silence_timer_.expires_after(unread_data_time);
    co_await silence_timer_.async_wait(asio::redirect_error(asio::use_awaitable, cancelled));
    if (cancelled || active_ != silent || progress != progress_ || ended_early_ || has_client_left()) {
        co_return;
    }
    const replacement_decision decision = decide_replacement();
    telemetry::log(telemetry::log_event::relay_attempt_silent,
                   {{"request", input_.request.id.text()},
                    {"endpoint", silent->endpoint.id.text()},
                    {"attempt", std::to_string(silent->number)},
                    {"began", std::string(to_text(silent->first_byte.has_value()))},
                    {"replacement", std::string(base::to_name(decision))},
                    {"inputs", std::string(to_text(!stages_ || stages_->has_inputs(now())))},
                    {"left_ms", std::to_string(base::to_milliseconds(remaining_time()))}});
    if (decision == replacement_decision::begun) {
        replacement_ = std::make_shared<replacement>();
        co_await make_replacement(replacement_);
    } else if (decision != replacement_decision::no_attempt) {
        watch_silence();
    }
}

asio::awaitable<void> relay_run::make_replacement(std::shared_ptr<replacement> next) {
    try {
        co_await run_replacement(next);
    } catch (const std::exception& error) {
        log_aborted_call("replacement", input_.request.id.text(), error.what());
        if (next->attempt && !next->begun) {
            next->attempt->close();
            finish_attempt(*next->attempt, relay::attempt_result::abandoned);
        }
    }
    if (replacement_ == next && !next->begun) {
        replacement_ = nullptr;
        watch_silence();
    }
    replacement_signal_.cancel();
}

asio::awaitable<void> relay_run::run_replacement(std::shared_ptr<replacement> next) {
    if (co_await restore_inputs() && !next->cancelled && co_await send_replacement(*next)) {
        const std::shared_ptr<relay_attempt> current = next->attempt;
        const std::optional<relay::attempt_result> failed = co_await await_answer(*current);
        if (failed || next->cancelled) {
            finish_attempt(*current, next->cancelled ? relay::attempt_result::abandoned : *failed);
        } else {
            next->begun = true;
            if (active_) {
                active_->replaced = true;
                active_->close();
            }
        }
    }
}

asio::awaitable<bool> relay_run::send_replacement(replacement& next) {
    for (std::size_t tried = 0; tried < max_unreachable_endpoints && !next.cancelled; ++tried) {
        const std::optional<relay::chosen_endpoint> endpoint = choose_endpoint();
        if (!endpoint) {
            co_return false;
        }
        next.attempt = begin_attempt(*endpoint);
        const std::optional<relay::attempt_result> failed = co_await send_attempt(*next.attempt);
        if (!failed) {
            telemetry::log(telemetry::log_event::relay_replacement_started,
                           {{"request", input_.request.id.text()},
                            {"endpoint", endpoint->id.text()},
                            {"attempt", std::to_string(next.attempt->number)},
                            {"last_event", last_event_id_.value_or("")},
                            {"left_ms", std::to_string(base::to_milliseconds(remaining_time()))}});
            co_return true;
        }
        finish_attempt(*next.attempt, next.cancelled ? relay::attempt_result::abandoned : *failed);
    }
    co_return false;
}

asio::awaitable<std::optional<relay::attempt_result>> relay_run::await_answer(relay_attempt& current) {
    const std::optional<relay::attempt_result> refused = co_await current.read_header(remaining_time());
    if (refused) {
        co_return refused;
    }
    if (current.header.status >= min_server_error_status || (stream_started_ && !current.is_stream())) {
        current.detail = "status " + std::to_string(current.header.status);
        co_return relay::attempt_result::answered_with_failure;
    }
    if (!current.is_stream()) {
        const base::result<void> read = co_await current.read_body(remaining_time());
        co_return read ? std::nullopt : std::optional(failure_result(current, read.error()));
    }
    while (current.events.bytes.empty() && !current.stream_ended) {
        const base::result<void> read = co_await current.read_events(remaining_time());
        if (!read) {
            co_return failure_result(current, read.error());
        }
    }
    if (current.events.bytes.empty() && current.has_partial_event()) {
        current.detail = "the stream ended inside an event";
        co_return relay::attempt_result::broken;
    }
    co_return std::nullopt;
}

void relay_run::cancel_replacement() {
    if (!replacement_) {
        return;
    }
    const std::shared_ptr<replacement> next = std::exchange(replacement_, nullptr);
    next->cancelled = true;
    if (next->attempt) {
        next->attempt->cancelled = true;
        next->attempt->close();
        // Its end is recorded only after the request may have been answered.
        may_have_run_ = may_have_run_ || next->attempt->sent;
    } else if (stages_) {
        stages_->release();
        stages_->stop();
    }
    if (next->begun) {
        finish_attempt(*next->attempt, relay::attempt_result::abandoned);
    }
    replacement_signal_.cancel();
}

asio::awaitable<std::shared_ptr<relay_attempt>> relay_run::take_replacement() {
    if (ended_early_) {
        cancel_replacement();
    }
    while (replacement_ && !replacement_->begun && remaining_time() > base::duration::zero()) {
        replacement_signal_.expires_after(remaining_time());
        boost::system::error_code ignored;
        co_await replacement_signal_.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    if (!replacement_ || !replacement_->begun) {
        cancel_replacement();
        const bool is_late = may_have_run_ && remaining_time() == base::duration::zero();
        last_result_ = is_late ? relay::attempt_result::timed_out : last_result_;
        co_return nullptr;
    }
    co_return std::exchange(replacement_, nullptr)->attempt;
}

} // namespace rattanbay::daemon::internal
