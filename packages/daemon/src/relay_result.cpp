#include "internal/clock.hpp"
#include "internal/oversized_response.hpp"
#include "internal/relay_run.hpp"

#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace rattanbay::daemon::internal {

namespace {

/// Bounds on the retry delay that is sent to clients, and its fraction of the remaining time.
constexpr std::chrono::milliseconds min_retry_delay{100};
constexpr std::chrono::milliseconds max_retry_delay{500};
constexpr double retry_delay_fraction = 0.2;

std::string join_for_log(const std::vector<std::string>& texts) {
    std::string out;
    for (const std::string& text : texts) {
        out += (out.empty() ? "" : " ") + text;
    }
    return out;
}

} // namespace

void relay_run::record_attempt(const relay_attempt& current, relay::attempt_result result) {
    const base::time_point end_time = now();
    may_have_run_ = may_have_run_ || relay::outcome_after(result) != base::outcome::not_run;
    unsent_attempts_ += result == relay::attempt_result::not_sent ? 1 : 0;
    misdirected_attempts_ += relay::counts_as_attempt(result, current.header) ? 0 : 1;
    time_to_send_ = current.start - input_.arrival;
    if (current.first_byte) {
        time_to_first_byte_ = *time_to_send_ + *current.first_byte;
    }
    const std::optional<base::duration> pause = current.pace.longest_pause();
    if (pause && (!longest_pause_ || *pause > *longest_pause_)) {
        longest_pause_ = pause;
        calls_at_longest_pause_ = current.calls_at_longest_pause;
    }
    const relay::attempt_result endpoint_result =
        current.no_descriptor ? relay::attempt_result::abandoned : result;
    relay_.balancer.end_call(current.endpoint.id, endpoint_result,
                             current.first_byte.value_or(end_time - current.start), relative_size(),
                             end_time);
    const bool shows_speed =
        current.first_byte || (current.sent && result == relay::attempt_result::timed_out);
    if (relay_.on_stream && shows_speed && input_.route->streamed && input_.request.prompt) {
        relay_.on_stream({current.endpoint.id, input_.route->name,
                          current.first_byte.value_or(end_time - current.start),
                          current.pace.time_per_event(), relative_size()});
    }
    const bool may_show_crash = result == relay::attempt_result::broken && !current.is_past_start(end_time) &&
                                !relay_.balancer.is_leaving(current.endpoint.id);
    if (may_show_crash && !shared_parts_.empty()) {
        quarantine_->check_endpoint(current.endpoint, input_.request.id, shared_parts_);
    }
    if (current.oversized) {
        record_oversized_response(shared_.metrics, "endpoint", current.endpoint.id.text(),
                                  input_.request.id.text(), *current.oversized);
    }
    if (result != relay::attempt_result::answered) {
        telemetry::log(telemetry::log_event::relay_attempt_failed,
                       {{"request", input_.request.id.text()},
                        {"endpoint", current.endpoint.id.text()},
                        {"address", current.endpoint.address.text()},
                        {"end", std::string(base::to_name(result))},
                        {"reused_connection", current.reused ? "true" : "false"},
                        {"repeats_exchange", current.repeats_exchange() ? "true" : "false"},
                        {"began", current.first_byte ? "true" : "false"},
                        {"attempt", std::to_string(current.number)},
                        {"took_ms", std::to_string(base::to_milliseconds(end_time - current.start))},
                        {"left_ms", std::to_string(base::to_milliseconds(remaining_time()))},
                        {"detail", current.detail}});
    }
}

base::duration relay_run::retry_delay() {
    const base::duration left = std::max(base::duration::zero(), deadline_ - now());
    const base::duration scaled = std::chrono::duration_cast<base::duration>(left * retry_delay_fraction);
    const base::duration max_delay = std::clamp<base::duration>(scaled, min_retry_delay, max_retry_delay);
    const double jitter = 0.5 + random_.unit() / 2;
    return std::chrono::duration_cast<base::duration>(max_delay * jitter);
}

asio::awaitable<void> relay_run::send_failure(http::responder& out) {
    if (client_disconnected_) {
        log_result("abandoned");
        co_return;
    }
    if (stream_started_) {
        // The client detects the incomplete stream and may resume it.
        out.abort();
        log_result("stream_broken");
        co_return;
    }
    if (failure_response_) {
        forwarded_status_ = failure_response_->status;
        log_result("endpoint_failed");
        co_await out.send(std::move(*failure_response_));
        co_return;
    }
    if (!may_have_run_ && admission_.refusal_delay) {
        std::string detail = "endpoints crash on requests with a part of this prompt";
        co_await send_problem(out, base::problem_kind::prompt_quarantined, base::outcome::not_run,
                              std::move(detail));
        co_return;
    }
    if (!may_have_run_) {
        std::string detail = "no endpoint took the request";
        co_await send_problem(out, base::problem_kind::no_endpoint, base::outcome::not_run,
                              std::move(detail));
        co_return;
    }
    const bool timed_out = last_result_ == relay::attempt_result::timed_out;
    const base::problem_kind kind =
        timed_out ? base::problem_kind::deadline_exceeded : base::problem_kind::stage_failed;
    const bool failed = last_result_ == relay::attempt_result::answered_with_failure;
    const std::string_view broken = failed ? "the endpoint failed" : "the connection to the endpoint broke";
    std::string detail(timed_out ? "no answer came in time" : broken);
    co_await send_problem(out, kind, base::outcome::unknown, std::move(detail));
}

asio::awaitable<void> relay_run::send_problem(http::responder& out, base::problem_kind kind,
                                              base::outcome outcome, std::string detail) {
    log_result(base::to_name(kind));
    std::optional<base::duration> retry_after;
    if (outcome == base::outcome::not_run) {
        const base::duration wait =
            relay_.balancer.time_to_resume(service_, now()).value_or(base::duration::zero());
        retry_after = std::max(wait, admission_.refusal_delay ? *admission_.refusal_delay : retry_delay());
    }
    const base::problem problem{kind, outcome, std::move(detail), std::nullopt};
    http::response response = relay_.protocol->write_problem(problem, retry_after);
    co_await out.send(std::move(response));
}

void relay_run::log_result(std::string_view result) {
    const base::duration elapsed = now() - input_.arrival;
    telemetry::log(
        telemetry::log_event::relay_ended,
        {{"request", input_.request.id.text()},
         {"route", input_.route->name},
         {"service", service_.text()},
         {"account", input_.account ? input_.account->text() : ""},
         {"endpoint", tried_endpoints_.empty() ? "" : tried_endpoints_.back().text()},
         {"attempts", std::to_string(tried_endpoints_.size())},
         {"result", std::string(result)},
         {"resumes", input_.request.resumed_attempt ? input_.request.resumed_attempt->text() : ""},
         {"last_event", input_.request.last_event_id.value_or("")},
         {"versions", join_for_log(forwarded_versions_)},
         {"endpoint_status", forwarded_status_ ? std::to_string(*forwarded_status_) : ""},
         {"took_ms", std::to_string(base::to_milliseconds(elapsed))},
         {"stages_ms", stages_ ? stages_->timings() : ""},
         {"sent_ms", time_to_send_ ? std::to_string(base::to_milliseconds(*time_to_send_)) : ""},
         {"first_byte_ms",
          time_to_first_byte_ ? std::to_string(base::to_milliseconds(*time_to_first_byte_)) : ""},
         {"longest_pause_ms", longest_pause_ ? std::to_string(base::to_milliseconds(*longest_pause_)) : ""},
         {"calls_at_pause", longest_pause_ ? std::to_string(calls_at_longest_pause_) : ""},
         {"input_tokens", input_.request.prompt ? std::to_string(input_.request.prompt->input_tokens) : ""},
         {"left_ms", std::to_string(base::to_milliseconds(remaining_time()))},
         {"document", std::to_string(input_.serving->revision)},
         {"vm_list", list_version_.text()},
         {"vm_list_age_ms", std::to_string(base::to_milliseconds(list_age_))}});
    shared_.metrics.record_request(base::pipeline_name(input_.route->name), result, elapsed);
}

} // namespace rattanbay::daemon::internal
