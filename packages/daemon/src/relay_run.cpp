#include "internal/relay_run.hpp"

#include "internal/clock.hpp"

#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace rattanbay::daemon::internal {

namespace {

constexpr std::chrono::milliseconds connect_timeout{300};
/// Number of attempts that may fail before anything is sent until the request is given up.
constexpr std::size_t max_unsent_attempts = 3;
/// Maximum idle time of a pooled connection used for an at-most-once request. If the endpoint closes an idle
/// connection while the request is on its way, it is unknown whether the request ran.
constexpr std::chrono::milliseconds max_unrepeatable_idle{500};
/// Fraction of the remaining time that an attempt may take if another one can follow.
constexpr double attempt_timeout_fraction = 0.4;
/// Bounds on the retry delay that is sent to clients, and its fraction of the remaining time.
constexpr std::chrono::milliseconds min_retry_delay{100};
constexpr std::chrono::milliseconds max_retry_delay{500};
constexpr double retry_delay_fraction = 0.2;
/// Silence after which a stream is resumed at another endpoint, as a multiple of the maximum event gap.
constexpr int silence_timeout_gaps = 4;
/// Assumed response time while none has been measured.
constexpr std::chrono::milliseconds default_response_time{300};
/// Time to read the body of a refusal, without which its connection cannot be used again.
constexpr std::chrono::milliseconds max_refusal_body_time{50};
constexpr std::size_t max_response_bytes = 64 * 1024 * 1024;
constexpr int min_server_error_status = 500;
constexpr int min_redirection_status = 300;

bool is_repeatable(const config::relay_route& route) {
    return route.retry != config::retry_mode::at_most_once;
}

} // namespace

relay_run::relay_run(shared_state& shared, std::shared_ptr<piece_router> router,
                     std::shared_ptr<quarantine_exchange> quarantine, asio::any_io_executor executor,
                     relay_input input)
    : shared_(shared)
    , relay_(*shared.relay)
    , piece_router_(std::move(router))
    , quarantine_(std::move(quarantine))
    , executor_(executor)
    , input_(std::move(input))
    , random_(shared.next_seed())
    , service_(relay::choose_target(*input_.route, random_))
    , deadline_(input_.arrival +
                std::min(input_.request.time_left.value_or(input_.route->timeout), input_.route->timeout))
    , shared_parts_(input_.request.prompt ? relay::shared_part_keys(service_, *input_.request.prompt)
                                          : std::vector<relay::part_key>())
    , input_release_timer_(executor)
    , last_event_id_(input_.request.last_event_id) {}

asio::awaitable<void> relay_run::execute(http::responder& out) {
    const std::shared_ptr<relay_run> self = shared_from_this();
    const std::weak_ptr<relay_run> weak = self;
    out.on_disconnect([weak]() {
        const std::shared_ptr<relay_run> run = weak.lock();
        if (run) {
            run->handle_disconnect();
        }
    });
    const open_runs::registration registration(relay_.open_requests, [weak, executor = executor_]() {
        asio::post(executor, [weak]() {
            const std::shared_ptr<relay_run> run = weak.lock();
            if (run) {
                run->end_early();
            }
        });
    });
    const auto budget = input_.serving->resend_budgets.find(service_);
    if (budget != input_.serving->resend_budgets.end()) {
        budget->second->count_request(now());
    }
    if (has_client_left(out)) {
        log_result("abandoned");
    } else if (is_quarantined()) {
        co_await send_failure(out);
    } else if (co_await prepare_inputs(out)) {
        co_await make_attempts(out);
    }
    input_release_timer_.cancel();
    if (stages_) {
        stages_->release();
    }
}

void relay_run::schedule_input_release() {
    const bool needed_again = sent_attempts_ + 1 < input_.route->max_attempts;
    if (!stages_ || needed_again) {
        return;
    }
    // Endpoints fetch the inputs when the request arrives, long before they run it. Releasing the inputs
    // early frees space that other requests are waiting for.
    const std::shared_ptr<input_stages> stages = stages_;
    input_release_timer_.expires_after(stages->estimate_fetch_time());
    input_release_timer_.async_wait([stages](const boost::system::error_code& ec) {
        if (!ec) {
            stages->release();
        }
    });
}

bool relay_run::has_client_left(http::responder& out) {
    // The close may stand unread in the socket if the thread was held since it arrived.
    if (!client_disconnected_ && out.is_disconnected()) {
        handle_disconnect();
    }
    return client_disconnected_;
}

void relay_run::handle_disconnect() {
    client_disconnected_ = true;
    if (active_connection_ != nullptr) {
        active_connection_->close();
    }
    if (stages_) {
        stages_->stop();
    }
}

void relay_run::end_early() {
    ended_early_ = true;
    deadline_ = std::min(deadline_, now());
    if (active_connection_ != nullptr) {
        active_connection_->close();
    }
    if (stages_) {
        stages_->stop();
    }
}

bool relay_run::is_quarantined() {
    const bool is_pending_trial = admission_.is_trial && sent_attempts_ == 0;
    if (!shared_parts_.empty() && !is_pending_trial) {
        admission_ = quarantine_->admit(shared_parts_);
    }
    return admission_.refusal_delay.has_value();
}

asio::awaitable<bool> relay_run::prepare_inputs(http::responder& out) {
    if (input_.route->stages.empty()) {
        co_return true;
    }
    const base::duration objective = input_.route->latency_objective > base::duration::zero()
                                         ? input_.route->latency_objective
                                         : input_.route->timeout;
    const std::optional<relay::chosen_endpoint> likely_endpoint = choose_endpoint();
    preferred_domain_ = likely_endpoint ? likely_endpoint->failure_domain : shared_.settings.failure_domain;
    const base::duration response_time =
        relay_.balancer.estimate_response_time(service_, relative_size()).value_or(default_response_time);
    stage_plan plan{&relay_,        &input_.request,   input_.route, input_.serving,
                    input_.urgency, preferred_domain_, {},           {}};
    plan.target_start = input_.arrival + objective - response_time;
    plan.latest_start = deadline_ - response_time / 2;
    stages_ = std::make_shared<input_stages>(piece_router_, executor_, std::move(plan));
    const std::optional<relay::piece_failure> failure = co_await stages_->run();
    if (client_disconnected_) {
        log_result("abandoned");
        co_return false;
    }
    if (failure || ended_early_) {
        std::string detail =
            ended_early_ ? "this VM is stopping" : "the stages of the request could not be done in time";
        co_await send_problem(out, base::problem_kind::overloaded, base::outcome::not_run, std::move(detail));
        co_return false;
    }
    co_return true;
}

base::duration relay_run::remaining_time() const {
    return std::max(base::duration::zero(), deadline_ - now());
}

double relay_run::relative_size() const {
    constexpr double typical_tokens = 1000;
    const std::optional<relay::prompt>& prompt = input_.request.prompt;
    return prompt ? 1 + static_cast<double>(prompt->input_tokens) / typical_tokens : 1;
}

std::optional<relay::chosen_endpoint> relay_run::choose_endpoint() {
    relay::endpoint_query query;
    query.service = service_;
    query.excluded = tried_endpoints_;
    query.preferred_domain = preferred_domain_;
    if (input_.route->prefix_affinity && input_.request.prompt) {
        query.affinity = input_.request.prompt->shared_part();
    }
    list_version_ = shared_.vms.read()->version;
    list_age_ = now() - shared_.vms_confirmed_at.load();
    return relay_.balancer.choose(query, now());
}

asio::awaitable<void> relay_run::make_attempts(http::responder& out) {
    while (!client_disconnected_) {
        if (remaining_time() == base::duration::zero()) {
            last_result_ = may_have_run_ ? relay::attempt_result::timed_out : last_result_;
            break;
        }
        if (is_quarantined()) {
            break;
        }
        const std::optional<relay::chosen_endpoint> endpoint = choose_endpoint();
        if (!endpoint) {
            break;
        }
        attempt current;
        current.endpoint = *endpoint;
        current.start = now();
        relay_.balancer.begin_call(endpoint->id, current.start);
        const relay::attempt_result result = co_await perform_attempt(current, out);
        active_connection_ = nullptr;
        record_attempt(current, result);
        if (result == relay::attempt_result::answered) {
            log_result("answered");
            co_return;
        }
        if (!should_retry(result)) {
            break;
        }
    }
    co_await send_failure(out);
}

bool relay_run::should_retry(relay::attempt_result result) {
    last_result_ = result;
    if (result == relay::attempt_result::not_sent) {
        ++unsent_attempts_;
    } else {
        ++sent_attempts_;
        may_have_run_ = may_have_run_ || relay::outcome_after(result) != base::outcome::not_run;
    }
    const bool allowed =
        !client_disconnected_ && !ended_early_ && relay::may_resend(result, input_.route->retry) &&
        sent_attempts_ < input_.route->max_attempts && unsent_attempts_ < max_unsent_attempts;
    if (!allowed || result == relay::attempt_result::not_sent) {
        return allowed;
    }
    const auto budget = input_.serving->resend_budgets.find(service_);
    return budget != input_.serving->resend_budgets.end() &&
           budget->second->try_spend(now(), std::max<std::size_t>(1, relay_.live_daemons.load()));
}

void relay_run::record_attempt(const attempt& current, relay::attempt_result result) {
    const base::time_point end_time = now();
    time_to_send_ = current.start - input_.arrival;
    if (current.first_byte) {
        time_to_first_byte_ = *time_to_send_ + *current.first_byte;
    }
    relay_.balancer.end_call(current.endpoint.id, result,
                             current.first_byte.value_or(end_time - current.start), relative_size(),
                             end_time);
    tried_endpoints_.push_back(current.endpoint.id);
    if (result == relay::attempt_result::broken && !current.first_byte && !shared_parts_.empty()) {
        quarantine_->check_endpoint(current.endpoint, input_.request.id, shared_parts_);
    }
    if (result != relay::attempt_result::answered) {
        telemetry::log(telemetry::log_event::relay_attempt_failed,
                       {{"request", input_.request.id.text()},
                        {"endpoint", current.endpoint.id.text()},
                        {"address", current.endpoint.address.text()},
                        {"end", std::string(base::to_name(result))},
                        {"reused_connection", current.reused ? "true" : "false"},
                        {"began", current.first_byte ? "true" : "false"},
                        {"attempt", std::to_string(tried_endpoints_.size())},
                        {"took_ms", std::to_string(base::to_milliseconds(end_time - current.start))},
                        {"left_ms", std::to_string(base::to_milliseconds(remaining_time()))},
                        {"detail", current.detail}});
    }
}

asio::awaitable<bool> relay_run::connect(attempt& current) {
    const base::duration max_idle =
        is_repeatable(*input_.route) ? http::connection_pool::max_idle_time : max_unrepeatable_idle;
    current.connection = relay_.pool.acquire(current.endpoint.address, max_idle);
    current.reused = current.connection != nullptr;
    if (!current.connection) {
        const base::duration limit = std::min<base::duration>(connect_timeout, remaining_time());
        base::result<std::unique_ptr<http::client_connection>> opened =
            co_await http::client_connection::connect(executor_, current.endpoint.address, limit);
        if (!opened) {
            current.detail = opened.error().message;
            co_return false;
        }
        current.connection = std::move(*opened);
    }
    active_connection_ = current.connection.get();
    co_return true;
}

asio::awaitable<relay::attempt_result> relay_run::perform_attempt(attempt& current, http::responder& out) {
    if (!co_await connect(current)) {
        co_return client_disconnected_ ? relay::attempt_result::abandoned : relay::attempt_result::not_sent;
    }
    // The endpoint or the client may have gone away while the connection was being opened.
    if (has_client_left(out) || remaining_time() == base::duration::zero() ||
        !relay_.balancer.is_available(current.endpoint.id, now())) {
        current.detail = "the endpoint became unavailable, the client disconnected or the deadline passed "
                         "before the request was sent";
        co_return client_disconnected_ ? relay::attempt_result::abandoned : relay::attempt_result::not_sent;
    }
    relay::send_options options;
    options.endpoint = current.endpoint.id;
    options.time_left = remaining_time();
    options.account = input_.account;
    options.urgency = input_.urgency;
    options.last_event_id = last_event_id_;
    if (stages_) {
        options.inputs = stages_->inputs();
    }
    current.connection->begin_send(relay_.protocol->write_request(input_.request, options), remaining_time());
    schedule_input_release();
    const relay::attempt_result result = co_await read_response(current, out);
    active_connection_ = nullptr;
    if (current.connection->reusable()) {
        relay_.pool.release(std::move(current.connection));
    } else {
        current.connection->close();
    }
    co_return result;
}

base::duration relay_run::attempt_timeout() const {
    const bool may_retry = is_repeatable(*input_.route) && sent_attempts_ + 1 < input_.route->max_attempts;
    if (!may_retry) {
        return remaining_time();
    }
    const base::duration scaled =
        std::chrono::duration_cast<base::duration>(remaining_time() * attempt_timeout_fraction);
    return std::min(remaining_time(), std::max(scaled, input_.route->latency_objective));
}

base::duration relay_run::silence_timeout() const {
    const bool can_continue = input_.route->retry == config::retry_mode::resumable &&
                              input_.route->max_event_gap > base::duration::zero();
    return can_continue ? std::min(remaining_time(), input_.route->max_event_gap * silence_timeout_gaps)
                        : remaining_time();
}

relay::attempt_result relay_run::failure_result(attempt& current, const base::error& reason) const {
    current.detail = reason.message;
    if (client_disconnected_) {
        return relay::attempt_result::abandoned;
    }
    return reason.code == base::error_code::timed_out ? relay::attempt_result::timed_out
                                                      : relay::attempt_result::broken;
}

asio::awaitable<relay::attempt_result> relay_run::read_response(attempt& current, http::responder& out) {
    const base::result<http::response_header> received =
        co_await current.connection->read_header(attempt_timeout());
    if (!received) {
        co_return failure_result(current, received.error());
    }
    const relay::endpoint_response_header header = relay_.protocol->read_response(*received);
    if (header.load) {
        relay_.balancer.update_load(current.endpoint.id, *header.load, now());
    }
    relay_.record_endpoint_wishes(current.endpoint.id, header);
    if (relay::is_refusal_of(header, input_.request.id, !current.reused)) {
        current.detail = "status " + std::to_string(header.status);
        const base::duration limit = std::min<base::duration>(max_refusal_body_time, remaining_time());
        const base::result<std::string> rest =
            co_await http::read_body(*current.connection, limit, max_response_bytes);
        current.detail += rest ? "" : ", " + rest.error().message;
        co_return relay::attempt_result::declined;
    }
    if (!relay::is_response_to(header, input_.request.id)) {
        current.connection->close();
        current.detail = "status " + std::to_string(header.status) +
                         " does not belong to this request (for '" +
                         (header.request_id ? header.request_id->text() : std::string()) + "')";
        telemetry::log(telemetry::log_event::crossed_answer, {{"request", input_.request.id.text()},
                                                              {"endpoint", current.endpoint.id.text()},
                                                              {"detail", current.detail}});
        co_return relay::attempt_result::broken;
    }
    if (header.is_event_stream && header.status < min_redirection_status) {
        co_return co_await forward_stream(current, header, out);
    }
    co_return co_await forward_response(current, header, out);
}

asio::awaitable<relay::attempt_result>
relay_run::forward_response(attempt& current, const relay::endpoint_response_header& header,
                            http::responder& out) {
    base::result<std::string> body =
        co_await http::read_body(*current.connection, remaining_time(), max_response_bytes);
    if (!body) {
        co_return failure_result(current, body.error());
    }
    current.first_byte = now() - current.start;
    http::response response{header.status, header.fields, std::move(*body)};
    if (stream_started_) {
        // The header of a stream was already sent to the client, so this response cannot be forwarded.
        current.detail = "status " + std::to_string(header.status) + " instead of the rest of the stream";
        co_return relay::attempt_result::answered_with_failure;
    }
    if (header.status >= min_server_error_status) {
        current.detail = "status " + std::to_string(header.status);
        failure_response_ = std::move(response);
        co_return relay::attempt_result::answered_with_failure;
    }
    quarantine_->record_answer(shared_parts_);
    const base::result<void> sent = co_await out.send(std::move(response));
    if (!sent) {
        current.detail = sent.error().message;
        co_return relay::attempt_result::abandoned;
    }
    co_return relay::attempt_result::answered;
}

asio::awaitable<std::optional<relay::attempt_result>>
relay_run::forward_events(const relay::endpoint_response_header& header, http::responder& out) {
    std::string events;
    std::optional<std::string> last = last_event_id_;
    while (std::optional<relay::stream_event> next = splitter_.next()) {
        events += next->bytes;
        last = next->id ? next->id : last;
    }
    if (events.empty()) {
        co_return std::nullopt;
    }
    base::result<void> sent;
    if (!stream_started_) {
        stream_started_ = true;
        http::response_header begin{header.status, header.fields};
        sent = co_await out.begin_stream(std::move(begin));
    }
    if (sent) {
        sent = co_await out.write(std::move(events));
    }
    if (!sent) {
        client_disconnected_ = true;
        co_return relay::attempt_result::abandoned;
    }
    last_event_id_ = last;
    co_return std::nullopt;
}

asio::awaitable<relay::attempt_result>
relay_run::forward_stream(attempt& current, const relay::endpoint_response_header& header,
                          http::responder& out) {
    splitter_ = relay::event_splitter();
    while (true) {
        const base::duration limit = current.first_byte ? silence_timeout() : attempt_timeout();
        if (remaining_time() == base::duration::zero()) {
            co_return relay::attempt_result::timed_out;
        }
        base::result<std::string> chunk = co_await current.connection->read_some(limit);
        if (!chunk) {
            co_return failure_result(current, chunk.error());
        }
        if (chunk->empty()) {
            break;
        }
        splitter_.append(*chunk);
        const std::optional<relay::attempt_result> ended = co_await forward_events(header, out);
        if (ended) {
            co_return *ended;
        }
        if (!current.first_byte && stream_started_) {
            current.first_byte = now() - current.start;
            quarantine_->record_answer(shared_parts_);
            if (stages_) {
                stages_->release();
            }
        }
    }
    if (splitter_.has_partial_event()) {
        current.detail = "the stream ended inside an event";
        co_return relay::attempt_result::broken;
    }
    if (!stream_started_) {
        stream_started_ = true;
        http::response_header begin{header.status, header.fields};
        const base::result<void> begun = co_await out.begin_stream(std::move(begin));
        if (!begun) {
            co_return relay::attempt_result::abandoned;
        }
    }
    const base::result<void> ended = co_await out.end_stream();
    co_return ended ? relay::attempt_result::answered : relay::attempt_result::abandoned;
}

base::duration relay_run::retry_delay() {
    const base::duration scaled =
        std::chrono::duration_cast<base::duration>(remaining_time() * retry_delay_fraction);
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
    std::string detail = timed_out ? "no answer came in time" : "the connection to the endpoint broke";
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
         {"took_ms", std::to_string(base::to_milliseconds(elapsed))},
         {"stages_ms", stages_ ? stages_->timings() : ""},
         {"sent_ms", time_to_send_ ? std::to_string(base::to_milliseconds(*time_to_send_)) : ""},
         {"first_byte_ms",
          time_to_first_byte_ ? std::to_string(base::to_milliseconds(*time_to_first_byte_)) : ""},
         {"input_tokens", input_.request.prompt ? std::to_string(input_.request.prompt->input_tokens) : ""},
         {"left_ms", std::to_string(base::to_milliseconds(remaining_time()))},
         {"document", std::to_string(input_.serving->revision)},
         {"vm_list", list_version_.text()},
         {"vm_list_age_ms", std::to_string(base::to_milliseconds(list_age_))}});
    shared_.metrics.record_request(base::pipeline_name(input_.route->name), result, elapsed);
}

} // namespace rattanbay::daemon::internal
