#include "internal/relay_run.hpp"

#include "internal/clock.hpp"
#include "internal/guarded_loop.hpp"
#include "internal/scope_exit.hpp"

#include <rattanbay/base/answer_time.hpp>

#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <utility>

namespace rattanbay::daemon::internal {

namespace {

/// Number of attempts that may fail before anything is sent until the request is given up.
constexpr std::size_t max_unsent_attempts = 3;
/// Number of attempts that may reach another endpoint than the one they were meant for. Each is an arrival
/// that draws on the budget of repeated ones.
constexpr std::size_t max_misdirected_attempts = 3;
/// Maximum idle time of a pooled connection used for an at-most-once request. If the endpoint closes an idle
/// connection while the request is on its way, it is unknown whether the request ran.
constexpr std::chrono::milliseconds max_unrepeatable_idle{500};
/// Assumed response time while none has been measured.
constexpr std::chrono::milliseconds default_response_time{300};
constexpr int min_server_error_status = 500;
/// Statuses of refusals of a request without inputs or with inputs that no longer exist.
constexpr int status_no_inputs = 400;
constexpr int status_inputs_gone = 409;

/// Time by which a request has to be answered, or its stream has to begin.
base::time_point start_deadline(const relay_input& input) {
    const config::relay_route& route = *input.route;
    base::duration allowed = route.timeout;
    if (input.request.time_left) {
        allowed = std::min(allowed, base::time_to_answer(*input.request.time_left));
    }
    if (route.streamed && route.client_patience > base::duration::zero()) {
        allowed = std::min(allowed, base::time_to_answer(route.client_patience));
    }
    return input.arrival + allowed;
}

bool is_repeatable(const config::relay_route& route) {
    return route.retry != config::retry_mode::at_most_once;
}

} // namespace

relay_run::relay_run(shared_state& shared, std::shared_ptr<piece_router> router,
                     std::shared_ptr<quarantine_exchange> quarantine,
                     std::shared_ptr<stream_origin_exchange> origins, asio::any_io_executor executor,
                     relay_input input)
    : shared_(shared)
    , relay_(*shared.relay)
    , piece_router_(std::move(router))
    , quarantine_(std::move(quarantine))
    , origins_(std::move(origins))
    , executor_(executor)
    , input_(std::move(input))
    , random_(shared.next_seed())
    , service_(relay::choose_target(*input_.route, random_))
    , deadline_(input_.arrival +
                std::min(input_.request.time_left.value_or(input_.route->timeout), input_.route->timeout))
    , start_deadline_(start_deadline(input_))
    , shared_parts_(input_.request.prompt ? relay::shared_part_keys(service_, *input_.request.prompt)
                                          : std::vector<relay::part_key>())
    , input_release_timer_(executor)
    , silence_timer_(executor)
    , replacement_signal_(executor)
    , last_event_id_(input_.request.last_event_id) {}

asio::awaitable<void> relay_run::execute(http::responder& out) {
    const std::shared_ptr<relay_run> self = shared_from_this();
    const std::weak_ptr<relay_run> weak = self;
    client_ = &out;
    // An exception must leave neither a replacement in progress nor a reference to the responder.
    const scope_exit release([this]() { release_resources(); });
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
    try {
        co_await answer(out);
    } catch (const std::exception& error) {
        log_aborted_call("request", input_.request.id.text(), error.what());
        abandon_open_attempts();
        throw;
    }
}

asio::awaitable<void> relay_run::answer(http::responder& out) {
    const std::shared_ptr<relay_run> self = shared_from_this();
    if (has_client_left()) {
        log_result("abandoned");
        co_return;
    }
    if (is_quarantined()) {
        co_await send_failure(out);
        co_return;
    }
    const bool can_begin = co_await prepare_resumption(out);
    if (!can_begin) {
        co_return;
    }
    const bool has_inputs = co_await prepare_inputs(out);
    if (has_inputs) {
        co_await make_attempts(out);
    }
}

void relay_run::abandon_open_attempts() {
    for (const std::shared_ptr<relay_attempt>& left : std::exchange(open_attempts_, {})) {
        // A replacement is ended by its own coroutine.
        if (!replacement_ || replacement_->attempt != left) {
            left->close();
            finish_attempt(*left, relay::attempt_result::abandoned);
        }
    }
}

void relay_run::release_resources() {
    input_release_timer_.cancel();
    handle_progress();
    if (active_) {
        active_->close();
    }
    if (stages_) {
        stages_->release();
    }
    client_ = nullptr;
}

bool relay_run::has_used_attempts() const {
    return sent_attempts_ - misdirected_attempts_ >= input_.route->max_attempts;
}

void relay_run::schedule_input_release() {
    if (!stages_ || !has_used_attempts()) {
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

bool relay_run::has_client_left() {
    // The close may stand unread in the socket if the thread was held since it arrived.
    if (!client_disconnected_ && client_ != nullptr && client_->is_disconnected()) {
        handle_disconnect();
    }
    return client_disconnected_;
}

void relay_run::handle_disconnect() {
    client_disconnected_ = true;
    close_attempts();
}

void relay_run::close_attempts() {
    silence_timer_.cancel();
    if (active_) {
        active_->close();
    }
    cancel_replacement();
    if (stages_) {
        stages_->stop();
    }
}

void relay_run::end_early() {
    ended_early_ = true;
    deadline_ = std::min(deadline_, now());
    start_deadline_ = std::min(start_deadline_, deadline_);
    close_attempts();
}

bool relay_run::is_quarantined() {
    const bool is_pending_trial = admission_.is_trial && sent_attempts_ == 0;
    if (!shared_parts_.empty() && !is_pending_trial) {
        admission_ = quarantine_->admit(shared_parts_);
    }
    return admission_.refusal_delay.has_value();
}

std::shared_ptr<input_stages> relay_run::make_stages() {
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
    plan.latest_start = start_deadline_ - response_time / 2;
    return std::make_shared<input_stages>(piece_router_, executor_, std::move(plan));
}

asio::awaitable<bool> relay_run::restore_inputs() {
    if (!stages_ || stages_->has_inputs(now())) {
        co_return true;
    }
    stages_->release();
    const std::shared_ptr<input_stages> again = make_stages();
    stages_ = again;
    const std::optional<relay::piece_failure> failure = co_await again->run();
    co_return !failure && again->has_inputs(now());
}

bool relay_run::can_have_inputs() const {
    return !stages_ || stages_->has_inputs(now()) || stages_->can_run_in_time(now());
}

asio::awaitable<bool> relay_run::prepare_inputs(http::responder& out) {
    if (input_.route->stages.empty()) {
        co_return true;
    }
    stages_ = make_stages();
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
    const base::time_point end = stream_started_ ? deadline_ : start_deadline_;
    return std::max(base::duration::zero(), end - now());
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
    if (origin_) {
        query.software_version = origin_->software_version;
    }
    if (input_.route->prefix_affinity && input_.request.prompt) {
        query.affinity = input_.request.prompt->shared_part();
    }
    const std::optional<base::duration> expected =
        relay_.balancer.estimate_response_time(service_, relative_size());
    if (expected && input_.route->latency_objective > base::duration::zero()) {
        // The same for all requests of a kind, so that daemons agree on the endpoint of a prompt part. Stages
        // take about half of the time.
        const base::duration slack = input_.route->stages.empty() ? input_.route->latency_objective
                                                                  : input_.route->latency_objective / 2;
        query.speed_exponent = relay::engine_speeds::exponent_for(*expected, slack);
    }
    list_version_ = shared_.vms.read()->version;
    list_age_ = now() - shared_.vms_confirmed_at.load();
    return relay_.balancer.choose(query, now());
}

asio::awaitable<void> relay_run::make_attempts(http::responder& out) {
    std::shared_ptr<relay_attempt> current;
    while (!client_disconnected_) {
        relay::attempt_result result = relay::attempt_result::not_sent;
        if (current) {
            active_ = current;
            result = co_await forward_answer(*current, out);
        } else {
            if (remaining_time() == base::duration::zero()) {
                last_result_ = may_have_run_ ? relay::attempt_result::timed_out : last_result_;
                break;
            }
            if (is_quarantined() || !co_await restore_inputs()) {
                break;
            }
            const std::optional<relay::chosen_endpoint> endpoint = choose_endpoint();
            if (!endpoint) {
                break;
            }
            current = begin_attempt(*endpoint);
            active_ = current;
            result = co_await perform_attempt(*current, out);
        }
        finish_attempt(*current, result);
        if (result == relay::attempt_result::answered) {
            log_result("answered");
            co_return;
        }
        last_result_ = result;
        current = co_await take_replacement();
        if (!current && !should_retry(result)) {
            break;
        }
    }
    co_await send_failure(out);
}

std::shared_ptr<relay_attempt> relay_run::begin_attempt(const relay::chosen_endpoint& endpoint) {
    tried_endpoints_.push_back(endpoint.id);
    const base::time_point start = now();
    relay_.balancer.begin_call(endpoint.id, start);
    std::shared_ptr<relay_attempt> attempt =
        std::make_shared<relay_attempt>(relay_, input_.request.id, endpoint, tried_endpoints_.size(), start);
    open_attempts_.push_back(attempt);
    attempt->watch_endpoint(executor_);
    return attempt;
}

void relay_run::finish_attempt(relay_attempt& current, relay::attempt_result result) {
    if (active_.get() == &current) {
        active_ = nullptr;
        silence_timer_.cancel();
    }
    std::erase_if(open_attempts_,
                  [&current](const std::shared_ptr<relay_attempt>& row) { return row.get() == &current; });
    current.release();
    record_attempt(current, result);
    const bool inputs_refused =
        result == relay::attempt_result::declined &&
        (current.header.status == status_no_inputs || current.header.status == status_inputs_gone);
    const bool others_use_inputs =
        active_ != nullptr || (replacement_ && replacement_->attempt.get() != &current);
    if (inputs_refused && stages_ && !others_use_inputs) {
        stages_->release();
    }
}

bool relay_run::may_run_elsewhere() const {
    const bool can_resume = input_.route->retry == config::retry_mode::resumable &&
                            last_event_id_.has_value() && origin_.has_value();
    return !stream_started_ || can_resume;
}

bool relay_run::should_retry(relay::attempt_result result) {
    const bool allowed = may_run_elsewhere() && !client_disconnected_ && !ended_early_ &&
                         remaining_time() > base::duration::zero() &&
                         relay::may_resend(result, input_.route->retry) && !has_used_attempts() &&
                         unsent_attempts_ < max_unsent_attempts &&
                         misdirected_attempts_ < max_misdirected_attempts && can_have_inputs();
    if (!allowed || result == relay::attempt_result::not_sent) {
        return allowed;
    }
    return spend_resend();
}

bool relay_run::spend_resend() {
    const auto budget = input_.serving->resend_budgets.find(service_);
    return budget != input_.serving->resend_budgets.end() &&
           budget->second->try_spend(now(), std::max<std::size_t>(1, relay_.live_daemons.load()));
}

base::duration relay_run::max_idle_time(const relay_attempt& current) const {
    // A second copy of the answer to an earlier attempt may be under way on a kept connection. It names this
    // request, so that it cannot be told from the answer to the next attempt.
    if (std::ranges::find(used_addresses_, current.endpoint.address) != used_addresses_.end()) {
        return base::duration::zero();
    }
    return is_repeatable(*input_.route) ? base::duration(http::connection_pool::max_idle_time)
                                        : base::duration(max_unrepeatable_idle);
}

asio::awaitable<std::optional<relay::attempt_result>> relay_run::send_attempt(relay_attempt& current) {
    const bool connected = co_await current.connect(executor_, max_idle_time(current), remaining_time());
    if (!connected && !current.cancelled && !client_disconnected_ &&
        remaining_time() > base::duration::zero()) {
        relay_.record_unreachable(current.endpoint.id);
    }
    // The endpoint or the client may have gone away while the connection was being opened.
    const bool wanted = connected && !current.cancelled && !has_client_left() &&
                        remaining_time() > base::duration::zero() &&
                        relay_.balancer.is_available(current.endpoint.id, now()) &&
                        relay_.balancer.has_chosen_version(current.endpoint) &&
                        relay_.balancer.may_send(current.endpoint.id, current.start, now()) &&
                        (!stages_ || stages_->has_inputs(now()));
    if (connected && !wanted) {
        current.detail =
            "the endpoint became unavailable, the client disconnected, the inputs expired or the "
            "deadline passed before the request was sent";
    }
    if (!wanted) {
        co_return client_disconnected_ ? relay::attempt_result::abandoned : relay::attempt_result::not_sent;
    }
    relay::send_options options;
    options.endpoint = current.endpoint.id;
    options.time_left = deadline_ - now();
    options.account = input_.account;
    options.urgency = input_.urgency;
    options.last_event_id = last_event_id_;
    if (stages_) {
        options.inputs = stages_->inputs();
    }
    ++sent_attempts_;
    used_addresses_.push_back(current.endpoint.address);
    // The body stays with the request: an endpoint that has lost its address to another one declines it.
    current.send(relay_.protocol->write_request(input_.request, options), remaining_time());
    schedule_input_release();
    co_return std::nullopt;
}

asio::awaitable<relay::attempt_result> relay_run::perform_attempt(relay_attempt& current,
                                                                  http::responder& out) {
    std::optional<relay::attempt_result> failed = co_await send_attempt(current);
    if (!failed) {
        watch_silence();
        failed = co_await current.read_header(remaining_time());
    }
    if (failed || current.replaced) {
        co_return failure_result(current, failed.value_or(relay::attempt_result::timed_out));
    }
    co_return co_await forward_answer(current, out);
}

relay::attempt_result relay_run::failure_result(relay_attempt& current, relay::attempt_result result) const {
    if (client_disconnected_) {
        return relay::attempt_result::abandoned;
    }
    if (current.replaced) {
        current.detail = "silent; the response of another endpoint is forwarded";
        return relay::attempt_result::timed_out;
    }
    return result;
}

relay::attempt_result relay_run::failure_result(relay_attempt& current, const base::error& reason) const {
    current.detail = reason.message;
    return failure_result(current, reason.code == base::error_code::timed_out
                                       ? relay::attempt_result::timed_out
                                       : relay::attempt_result::broken);
}

asio::awaitable<relay::attempt_result> relay_run::forward_answer(relay_attempt& current,
                                                                 http::responder& out) {
    if (current.is_stream()) {
        co_return co_await forward_stream(current, out);
    }
    co_return co_await forward_response(current, out);
}

asio::awaitable<relay::attempt_result> relay_run::forward_response(relay_attempt& current,
                                                                   http::responder& out) {
    const bool is_unproven_refusal = relay::is_unproven_refusal(current.header, input_.route->retry);
    const bool is_failure = current.header.status >= min_server_error_status || is_unproven_refusal;
    const bool is_answer = !is_failure && !stream_started_;
    if (is_answer) {
        // A replacement in progress is kept until the body is whole.
        stop_watch();
    }
    const base::result<void> read = co_await current.read_body(remaining_time());
    if (!read || current.replaced) {
        co_return read ? failure_result(current, relay::attempt_result::timed_out)
                       : failure_result(current, read.error());
    }
    if (is_answer) {
        handle_progress();
    }
    current.first_byte = now() - current.start;
    http::response response{current.header.status, current.header.fields, std::move(*current.body)};
    if (stream_started_) {
        // The header of a stream was already sent to the client, so this response cannot be forwarded.
        current.detail = "status " + std::to_string(response.status) + " instead of the rest of the stream";
        co_return relay::attempt_result::answered_with_failure;
    }
    if (is_unproven_refusal) {
        current.detail = "status " + std::to_string(response.status) + ", but the request may have run";
        co_return relay::attempt_result::answered_with_failure;
    }
    if (is_failure) {
        current.detail = "status " + std::to_string(response.status);
        failure_response_ = std::move(response);
        failure_memory_ = current.take_memory();
        co_return relay::attempt_result::answered_with_failure;
    }
    quarantine_->record_answer(shared_parts_);
    forwarded_status_ = response.status;
    const base::result<void> sent = co_await out.send(std::move(response));
    if (!sent) {
        current.detail = sent.error().message;
        co_return relay::attempt_result::abandoned;
    }
    co_return relay::attempt_result::answered;
}

asio::awaitable<bool> relay_run::forward_events(relay_attempt& current, http::responder& out) {
    event_batch events = std::exchange(current.events, {});
    const std::string& version = current.endpoint.software_version;
    if (!events.bytes.empty() && (forwarded_versions_.empty() || forwarded_versions_.back() != version)) {
        forwarded_versions_.push_back(version);
    }
    if (!events.bytes.empty()) {
        record_origin(current);
    }
    base::result<void> sent;
    if (!stream_started_) {
        stream_started_ = true;
        http::response_header begin{current.header.status, current.header.fields};
        sent = co_await out.begin_stream(std::move(begin));
    }
    if (sent && !events.bytes.empty()) {
        sent = co_await out.write(std::move(events.bytes));
    }
    if (!sent) {
        client_disconnected_ = true;
        co_return false;
    }
    last_event_id_ = events.last_id ? events.last_id : last_event_id_;
    co_return true;
}

asio::awaitable<relay::attempt_result> relay_run::forward_stream(relay_attempt& current,
                                                                 http::responder& out) {
    bool is_recorded = false;
    while (true) {
        if (!current.events.bytes.empty()) {
            handle_progress();
            if (!co_await forward_events(current, out)) {
                co_return relay::attempt_result::abandoned;
            }
            if (!current.first_byte) {
                current.first_byte = now() - current.start;
            } else if (!is_recorded && current.is_past_start(now())) {
                is_recorded = true;
                quarantine_->record_answer(shared_parts_);
            }
            if (stages_) {
                stages_->release();
            }
            watch_silence();
        }
        if (current.stream_ended) {
            break;
        }
        if (remaining_time() == base::duration::zero()) {
            co_return failure_result(current, relay::attempt_result::timed_out);
        }
        const base::result<void> read = co_await current.read_events(remaining_time());
        if (!read || current.replaced) {
            co_return read ? failure_result(current, relay::attempt_result::timed_out)
                           : failure_result(current, read.error());
        }
    }
    if (current.has_partial_event()) {
        current.detail = "the stream ended inside an event";
        co_return relay::attempt_result::broken;
    }
    handle_progress();
    quarantine_->record_answer(shared_parts_);
    if (!stream_started_ && !co_await forward_events(current, out)) {
        co_return relay::attempt_result::abandoned;
    }
    const base::result<void> ended = co_await out.end_stream();
    co_return ended ? relay::attempt_result::answered : relay::attempt_result::abandoned;
}

} // namespace rattanbay::daemon::internal
