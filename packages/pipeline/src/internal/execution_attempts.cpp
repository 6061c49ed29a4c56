// Attempts of a stage: sending, responses, retries and hedges.

#include "internal/execution_state.hpp"

#include <algorithm>

namespace rattanbay::pipeline {

namespace {

/// Time added to the expected duration of a call to get its response header timeout.
constexpr base::duration header_timeout_margin = std::chrono::seconds(1);

/// Maximum number of endpoints requested for one stage. It limits the damage done by a request that makes
/// every endpoint it reaches fail; the retry budget is shared by all requests and limits none of them alone.
constexpr std::uint32_t max_routes_per_stage = 5;

constexpr int http_request_timeout = 408;
constexpr int http_too_many_requests = 429;

bool is_success(int status) {
    return status >= 200 && status < 300;
}

/// Whether the status means that the call itself is invalid, so that a retry elsewhere would fail too.
bool is_permanent_client_error(int status) {
    return status >= 400 && status < 500 && status != http_request_timeout &&
           status != http_too_many_requests;
}

attempt_result to_attempt_result(const base::error& reason, bool went_silent) {
    if (reason.code == base::error_code::connection_refused) {
        return attempt_result::refused_connection;
    }
    return went_silent ? attempt_result::went_silent : attempt_result::failed;
}

} // namespace

internal::endpoint_call execution::state::make_call() const {
    return internal::make_stage_call(progress_.service().kind, request_, progress_.input(), emits_tokens());
}

void execution::state::send_attempt(endpoint_session& session, internal::endpoint_call call,
                                    base::time_point now) {
    const bool idempotent = progress_.stage().idempotent;
    const bool is_retry = session.started;
    attempt_book_.record_start(session, now);
    if (!idempotent) {
        run_outcome_.on_attempt_sent();
    }
    session.attempt_header = request_.id.text() + "/" + std::to_string(progress_.stage_index()) + "/" +
                             std::to_string(session.attempt.value);
    start_attempt attempt;
    attempt.attempt = session.attempt;
    attempt.stage = progress_.stage_index();
    attempt.endpoint = session.endpoint;
    attempt.address = session.address;
    attempt.path = std::move(call.path);
    attempt.body = std::move(call.body);
    attempt.attempt_header = session.attempt_header;
    attempt.streamed = emits_tokens();
    attempt.new_connection = is_retry || !idempotent;
    if (progress_.service().kind == config::service_kind::plain_service) {
        attempt.idempotency_key = request_.idempotency_key;
    }
    attempt.deadline = stage_deadline();
    // A non-idempotent attempt is never repeated, so a timeout before the deadline would gain nothing.
    const base::duration header_timeout =
        std::max(session.estimate, progress_.service().expected_duration) + header_timeout_margin;
    attempt.header_timeout =
        idempotent ? std::min(header_timeout, stage_deadline() - now) : stage_deadline() - now;
    actions_.emplace_back(std::move(attempt));
}

void execution::state::on(const route_chosen& ev, base::time_point now) {
    endpoint_session* session = attempt_book_.find(ev.attempt);
    if (session != nullptr && session->started) {
        return;
    }
    if (session == nullptr || now >= stage_deadline()) {
        actions_.emplace_back(report_endpoint_result{ev.endpoint, attempt_result::cancelled, {}});
        attempt_book_.remove(ev.attempt);
        return;
    }
    attempt_book_.assign_endpoint(*session, ev);
    session->assembler = internal::stream_assembler(emitted_tokens_);
    send_attempt(*session, make_call(), now);
}

void execution::state::on(const route_refused& ev, base::time_point now) {
    const endpoint_session* session = attempt_book_.find(ev.attempt);
    if (session == nullptr || session->started) {
        return;
    }
    attempt_book_.remove(ev.attempt);
    if (!attempt_book_.sessions().empty()) {
        return;
    }
    const std::string stage = "stage " + progress_.stage().name;
    if (!last_error_) {
        fail_request(base::problem_kind::no_endpoint, stage + ": no endpoint is available", now);
        return;
    }
    const char* reason = ev.reason == route_refusal::no_endpoint ? "; no other endpoint is available"
                                                                 : "; the retry budget is exhausted";
    fail_request(base::problem_kind::stage_failed, stage + ": " + *last_error_ + reason, now);
}

void execution::state::on(const attempt_not_sent& ev, base::time_point now) {
    endpoint_session* session = attempt_book_.find(ev.attempt);
    if (session == nullptr || !session->started) {
        return;
    }
    if (!progress_.stage().idempotent) {
        run_outcome_.on_attempt_not_sent();
    }
    if (session->resuming || session->went_silent) {
        resume_or_fail(*session, to_attempt_result(ev.reason, session->went_silent), ev.reason.message, now);
        return;
    }
    report(*session, to_attempt_result(ev.reason, false), now);
    attempt_book_.remove(ev.attempt);
    if (!attempt_book_.sessions().empty()) {
        return;
    }
    const std::string detail = "stage " + progress_.stage().name + ": " + ev.reason.message;
    if (caller_disconnected_ && !run_outcome_.may_have_run()) {
        fail_request(base::problem_kind::stage_failed, "the caller closed its connection", now);
    } else if (route_count_ >= max_routes_per_stage) {
        fail_request(base::problem_kind::no_endpoint, detail, now);
    } else if (!fail_if_infeasible(now)) {
        request_endpoint(attempt_purpose::first, now);
    }
}

void execution::state::on(const attempt_failed& ev, base::time_point now) {
    endpoint_session* session = attempt_book_.find(ev.attempt);
    if (session == nullptr || !session->started) {
        return;
    }
    const bool silent = ev.reason.code == base::error_code::timed_out;
    if (silent && !session->went_silent && !session->assembler.has_tokens() && can_retry(now)) {
        retry_on_new_connection(*session, now);
        return;
    }
    const bool went_silent = silent || session->went_silent;
    resume_or_fail(*session, to_attempt_result(ev.reason, went_silent), ev.reason.message, now);
}

void execution::state::retry_on_new_connection(endpoint_session& session, base::time_point now) {
    session.went_silent = true;
    attempt_book_.assign_new_attempt_id(session);
    send_attempt(session, make_call(), now);
}

void execution::state::on(const response_received& ev, base::time_point now) {
    endpoint_session* session = attempt_book_.find(ev.attempt);
    if (session == nullptr || !session->started) {
        return;
    }
    if (ev.echo && *ev.echo != session->attempt_header) {
        resume_or_fail(*session, attempt_result::failed, "the response belongs to another attempt", now);
        return;
    }
    if (!progress_.stage().idempotent) {
        run_outcome_.on_response();
    }
    const bool streamed = emits_tokens() || session->assembler.has_tokens();
    const bool is_complete =
        ev.tokens.value_or(session->assembler.token_count()) == session->assembler.token_count();
    if (is_success(ev.status) && streamed && !is_complete) {
        resume_or_fail(*session, attempt_result::failed, "the stream ended before its last tokens", now);
    } else if (is_success(ev.status)) {
        on_success(*session, ev.body, now);
    } else {
        on_error_status(*session, ev.status, now);
    }
}

void execution::state::on_error_status(endpoint_session& session, int status, base::time_point now) {
    const std::string reason = "the endpoint answered with status " + std::to_string(status);
    if (session.resuming) {
        if (is_permanent_client_error(status)) {
            // The engine no longer has the stream.
            session.stream.reset();
        }
        resume_or_fail(session, attempt_result::failed, reason, now);
        return;
    }
    if (!is_permanent_client_error(status) || !progress_.stage().idempotent) {
        fail_session(session, attempt_result::failed, reason, now);
        return;
    }
    report(session, attempt_result::succeeded, now);
    attempt_book_.remove(session.attempt);
    fail_request(base::problem_kind::stage_failed, "stage " + progress_.stage().name + ": " + reason, now);
}

void execution::state::on_success(endpoint_session& session, const std::string& body, base::time_point now) {
    internal::stage_output output;
    if (emits_tokens() || (body.empty() && session.assembler.has_tokens())) {
        if (!session.assembler.caught_up()) {
            fail_session(session, attempt_result::failed,
                         "the repeated generation ended before the last token sent to the caller", now);
            return;
        }
        output = {internal::to_json_string(session.assembler.text()), session.assembler.token_count()};
    } else {
        base::result<internal::stage_output> parsed = internal::parse_output(progress_.service().kind, body);
        if (!parsed) {
            fail_session(session, attempt_result::failed, parsed.error().message, now);
            return;
        }
        output = std::move(*parsed);
    }
    report(session, attempt_result::succeeded, now);
    attempt_book_.remove(session.attempt);
    cancel_others(attempt_id{}, now);
    end_stage(std::move(output), now);
}

void execution::state::fail_session(endpoint_session& session, attempt_result result,
                                    const std::string& reason, base::time_point now) {
    if (session.stream) {
        actions_.emplace_back(cancel_attempt{session.attempt, session.address, session.stream});
    }
    report(session, result, now);
    last_error_ = reason;
    if (has_emitted_token()) {
        emitted_tokens_ = session.assembler.tokens();
    }
    attempt_book_.remove(session.attempt);
    if (attempt_book_.sessions().empty()) {
        retry(now);
    }
}

void execution::state::retry(base::time_point now) {
    const std::string detail = "stage " + progress_.stage().name + ": " + last_error_.value_or("");
    const bool is_retryable = progress_.stage().idempotent && (!has_emitted_token() || request_.seed);
    if (!is_retryable || route_count_ >= max_routes_per_stage) {
        fail_request(base::problem_kind::stage_failed, detail, now);
    } else if (!can_retry(now)) {
        fail_request(base::problem_kind::deadline_exceeded,
                     detail + "; the time budget of the stage is exhausted", now);
    } else if (!fail_if_infeasible(now)) {
        request_endpoint(attempt_purpose::retry, now);
    }
}

std::optional<base::time_point> execution::state::next_hedge_time(base::time_point now) const {
    const base::duration delay = deadline_shares_.hedge_delay(progress_.stage_index());
    if (hedge_requested_ || delay <= base::duration::zero() || !can_retry(now) ||
        route_count_ >= max_routes_per_stage || attempt_book_.sessions().size() != 1) {
        return std::nullopt;
    }
    const endpoint_session& session = attempt_book_.sessions().front();
    const base::time_point due = session.attempt_started_at + delay;
    const base::time_point earliest = std::max(due, now);
    const bool in_time =
        earliest < stage_budget_end_ &&
        earliest + deadline_shares_.min_remaining_time(progress_.stage_index()) <= request_.deadline;
    if (!session.started || session.assembler.has_tokens() || has_emitted_token() || !in_time) {
        return std::nullopt;
    }
    return due;
}

} // namespace rattanbay::pipeline
