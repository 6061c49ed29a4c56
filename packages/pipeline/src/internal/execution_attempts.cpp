// Attempts of a stage: start, end, repetition and hedge.

#include "internal/execution_state.hpp"

#include <algorithm>

namespace rattanbay::pipeline {

namespace {

/// Wait beyond the estimate before a connection without the head of an answer counts as silent.
constexpr base::duration silence_margin = std::chrono::seconds(1);

/// Endpoints asked for one stage. It bounds the work that a request causes which breaks every
/// endpoint it reaches; the retry budget is shared with other requests and does not bound one.
constexpr std::uint32_t max_routes = 5;

constexpr int status_request_timeout = 408;
constexpr int status_too_many_requests = 429;

bool is_success(int status) {
    return status >= 200 && status < 300;
}

/// Whether the status says that the call itself is at fault, so that no other endpoint takes it.
bool blames_call(int status) {
    return status >= 400 && status < 500 && status != status_request_timeout &&
           status != status_too_many_requests;
}

attempt_result result_of(const base::error& reason, bool went_silent) {
    if (reason.code == base::error_code::connection_refused) {
        return attempt_result::refused_connection;
    }
    return went_silent ? attempt_result::went_silent : attempt_result::failed;
}

} // namespace

internal::endpoint_call execution::state::call_of_stage() const {
    return internal::stage_call(progress_.service().kind, work_, progress_.input(), emits());
}

void execution::state::start(endpoint_use& use, internal::endpoint_call call, base::time_point now) {
    const bool idempotent = progress_.stage().idempotent;
    const bool repeated = use.started;
    book_.start(use, now);
    if (!idempotent) {
        outcome_.sent();
    }
    use.header =
        work_.id.text() + "/" + std::to_string(progress_.index()) + "/" + std::to_string(use.attempt.value);
    start_attempt begin;
    begin.attempt = use.attempt;
    begin.stage = progress_.index();
    begin.endpoint = use.endpoint;
    begin.address = use.address;
    begin.path = std::move(call.path);
    begin.body = std::move(call.body);
    begin.attempt_header = use.header;
    begin.streamed = emits();
    begin.new_connection = repeated || !idempotent;
    if (progress_.service().kind == config::service_kind::plain_service) {
        begin.idempotency_key = work_.idempotency_key;
    }
    begin.deadline = stage_end();
    // Giving up a silent non-idempotent attempt early gains nothing, as it is not repeated.
    const base::duration patience =
        std::max(use.estimate, progress_.service().expected_duration) + silence_margin;
    begin.head_limit = idempotent ? std::min(patience, stage_end() - now) : stage_end() - now;
    actions_.emplace_back(std::move(begin));
}

void execution::state::on(const route_chosen& happened, base::time_point now) {
    endpoint_use* use = book_.find(happened.attempt);
    if (use != nullptr && use->started) {
        return;
    }
    if (use == nullptr || now >= stage_end()) {
        actions_.emplace_back(report_attempt{happened.endpoint, attempt_result::cancelled, {}});
        book_.close(happened.attempt);
        return;
    }
    book_.choose(*use, happened);
    use->tokens = internal::stream_assembler(known_tokens_);
    start(*use, call_of_stage(), now);
}

void execution::state::on(const route_refused& happened, base::time_point now) {
    const endpoint_use* use = book_.find(happened.attempt);
    if (use == nullptr || use->started) {
        return;
    }
    book_.close(happened.attempt);
    if (!book_.uses().empty()) {
        return;
    }
    const std::string stage = "stage " + progress_.stage().name;
    if (!last_failure_) {
        give_up_with(base::problem_kind::no_endpoint, stage + ": no endpoint can take the call", now);
        return;
    }
    const char* reason = happened.reason == route_refusal::no_endpoint ? ", and there is no other endpoint"
                                                                       : ", and the retry budget is spent";
    give_up_with(base::problem_kind::stage_failed, stage + ": " + *last_failure_ + reason, now);
}

void execution::state::on(const attempt_not_sent& happened, base::time_point now) {
    endpoint_use* use = book_.find(happened.attempt);
    if (use == nullptr || !use->started) {
        return;
    }
    if (!progress_.stage().idempotent) {
        outcome_.not_sent();
    }
    if (use->resuming || use->went_silent) {
        resume_or_fail(*use, result_of(happened.reason, use->went_silent), happened.reason.message, now);
        return;
    }
    report(*use, result_of(happened.reason, false), now);
    book_.close(happened.attempt);
    if (!book_.uses().empty()) {
        return;
    }
    const std::string detail = "stage " + progress_.stage().name + ": " + happened.reason.message;
    if (caller_gone_ && !outcome_.exposed()) {
        give_up_with(base::problem_kind::stage_failed, "the caller closed its connection", now);
    } else if (routes_ >= max_routes) {
        give_up_with(base::problem_kind::no_endpoint, detail, now);
    } else if (!refuse_early(now)) {
        ask_route(attempt_purpose::first, now);
    }
}

void execution::state::on(const attempt_broken& happened, base::time_point now) {
    endpoint_use* use = book_.find(happened.attempt);
    if (use == nullptr || !use->started) {
        return;
    }
    const bool silent = happened.reason.code == base::error_code::timed_out;
    if (silent && !use->went_silent && !use->tokens.started() && may_repeat(now)) {
        start_on_new_connection(*use, now);
        return;
    }
    const bool went_silent = silent || use->went_silent;
    resume_or_fail(*use, result_of(happened.reason, went_silent), happened.reason.message, now);
}

void execution::state::start_on_new_connection(endpoint_use& use, base::time_point now) {
    use.went_silent = true;
    book_.renew(use);
    start(use, call_of_stage(), now);
}

void execution::state::on(const attempt_answered& happened, base::time_point now) {
    endpoint_use* use = book_.find(happened.attempt);
    if (use == nullptr || !use->started) {
        return;
    }
    if (happened.echo && *happened.echo != use->header) {
        resume_or_fail(*use, attempt_result::failed, "the answer belongs to another attempt", now);
        return;
    }
    if (!progress_.stage().idempotent) {
        outcome_.answered();
    }
    const bool streamed = emits() || use->tokens.started();
    const bool whole = happened.tokens.value_or(use->tokens.accepted()) == use->tokens.accepted();
    if (is_success(happened.status) && streamed && !whole) {
        resume_or_fail(*use, attempt_result::failed, "the stream lacks its last tokens", now);
    } else if (is_success(happened.status)) {
        on_success(*use, happened.body, now);
    } else {
        on_error_status(*use, happened.status, now);
    }
}

void execution::state::on_error_status(endpoint_use& use, int status, base::time_point now) {
    const std::string reason = "the endpoint answered with status " + std::to_string(status);
    if (use.resuming) {
        if (blames_call(status)) {
            // The engine no longer has the stream.
            use.stream.reset();
        }
        resume_or_fail(use, attempt_result::failed, reason, now);
        return;
    }
    if (!blames_call(status) || !progress_.stage().idempotent) {
        fail_use(use, attempt_result::failed, reason, now);
        return;
    }
    report(use, attempt_result::succeeded, now);
    book_.close(use.attempt);
    give_up_with(base::problem_kind::stage_failed, "stage " + progress_.stage().name + ": " + reason, now);
}

void execution::state::on_success(endpoint_use& use, const std::string& body, base::time_point now) {
    internal::stage_output output;
    if (emits() || (body.empty() && use.tokens.started())) {
        if (!use.tokens.caught_up()) {
            fail_use(use, attempt_result::failed, "the generation ended before the tokens sent so far", now);
            return;
        }
        output = {internal::quote(use.tokens.text()), use.tokens.accepted()};
    } else {
        base::result<internal::stage_output> read = internal::read_output(progress_.service().kind, body);
        if (!read) {
            fail_use(use, attempt_result::failed, read.error().message, now);
            return;
        }
        output = std::move(*read);
    }
    report(use, attempt_result::succeeded, now);
    book_.close(use.attempt);
    cancel_others(attempt_id{}, now);
    end_stage(std::move(output), now);
}

void execution::state::fail_use(endpoint_use& use, attempt_result result, const std::string& reason,
                                base::time_point now) {
    if (use.stream) {
        actions_.emplace_back(cancel_attempt{use.attempt, use.address, use.stream});
    }
    report(use, result, now);
    last_failure_ = reason;
    if (emitted()) {
        known_tokens_ = use.tokens.tokens();
    }
    book_.close(use.attempt);
    if (book_.uses().empty()) {
        retry(now);
    }
}

void execution::state::retry(base::time_point now) {
    const std::string detail = "stage " + progress_.stage().name + ": " + last_failure_.value_or("");
    const bool repeatable = progress_.stage().idempotent && (!emitted() || work_.seed);
    if (!repeatable || routes_ >= max_routes) {
        give_up_with(base::problem_kind::stage_failed, detail, now);
    } else if (!may_repeat(now)) {
        give_up_with(base::problem_kind::deadline_exceeded, detail + ", and the stage's time is used up",
                     now);
    } else if (!refuse_early(now)) {
        ask_route(attempt_purpose::retry, now);
    }
}

std::optional<base::time_point> execution::state::hedge_time(base::time_point now) const {
    const base::duration delay = shares_.hedge_delay(progress_.index());
    if (hedge_asked_ || delay <= base::duration::zero() || !may_repeat(now) || routes_ >= max_routes ||
        book_.uses().size() != 1) {
        return std::nullopt;
    }
    const endpoint_use& use = book_.uses().front();
    const base::time_point due = use.attempt_began + delay;
    const base::time_point start = std::max(due, now);
    const bool in_time =
        start < share_end_ && start + shares_.least_time(progress_.index()) <= work_.deadline;
    if (!use.started || use.tokens.started() || emitted() || !in_time) {
        return std::nullopt;
    }
    return due;
}

} // namespace rattanbay::pipeline
