#include "internal/execution_state.hpp"

#include <algorithm>
#include <cassert>

namespace rattanbay::pipeline {

namespace {

bool all_stages_idempotent(const config::pipeline& pipeline_config) {
    return std::all_of(pipeline_config.stages.begin(), pipeline_config.stages.end(),
                       [](const config::stage& stage) { return stage.idempotent; });
}

} // namespace

execution::state::state(request req, config::pipeline pipeline_config, std::vector<config::service> services,
                        std::vector<service_times> times)
    : request_(std::move(req))
    , idempotent_pipeline_(all_stages_idempotent(pipeline_config))
    , progress_(std::move(pipeline_config), std::move(services), request_.input)
    , deadline_shares_(std::move(times))
    , run_outcome_(idempotent_pipeline_) {}

std::vector<action> execution::state::handle(const event& ev, base::time_point now) {
    actions_.clear();
    if (!ended_) {
        std::visit([this, now](const auto& it) { on(it, now); }, ev);
        check_deadlines(now);
        update_timer(now);
    } else if (const auto* route = std::get_if<route_chosen>(&ev)) {
        on(*route, now);
    }
    return std::move(actions_);
}

void execution::state::on(const started&, base::time_point now) {
    if (started_) {
        return;
    }
    started_ = true;
    if (!internal::is_valid_json(request_.input)) {
        fail_request(base::problem_kind::malformed_request, "the input is not valid JSON", now);
        return;
    }
    begin_stage(now);
}

void execution::state::on(const timer_expired&, base::time_point) {
    timer_.reset();
}

void execution::state::on(const caller_disconnected&, base::time_point now) {
    caller_disconnected_ = true;
    if (run_outcome_.may_have_run()) {
        return;
    }
    fail_request(base::problem_kind::stage_failed, "the caller closed its connection", now);
}

void execution::state::begin_stage(base::time_point now) {
    progress_.start_stage(now);
    attempt_book_.clear();
    route_count_ = 0;
    hedge_requested_ = false;
    token_emitted_ = false;
    emitted_tokens_.clear();
    last_error_.reset();
    if (fail_if_infeasible(now)) {
        return;
    }
    const base::duration stage_budget =
        deadline_shares_.stage_budget(progress_.stage_index(), request_.deadline - now);
    stage_budget_end_ = std::min(now + stage_budget, stage_deadline());
    request_endpoint(attempt_purpose::first, now);
}

void execution::state::end_stage(internal::stage_output output, base::time_point now) {
    run_outcome_.on_stage_completed();
    progress_.complete_stage(std::move(output), attempt_book_.attempt_count(), now);
    if (!progress_.all_stages_completed()) {
        begin_stage(now);
        return;
    }
    ended_ = true;
    actions_.emplace_back(complete{progress_.input(), progress_.reports(), progress_.tokens()});
}

void execution::state::request_endpoint(attempt_purpose purpose, base::time_point now) {
    ++route_count_;
    const attempt_id attempt = attempt_book_.add_session().attempt;
    actions_.emplace_back(request_route{attempt, progress_.service().name, purpose,
                                        attempt_book_.tried_endpoints(), stage_deadline() - now});
}

bool execution::state::can_retry(base::time_point now) const {
    return progress_.stage().idempotent && now < stage_budget_end_;
}

bool execution::state::emits_tokens() const {
    return request_.streamed && progress_.is_last_stage() &&
           progress_.service().kind == config::service_kind::model_engine;
}

bool execution::state::fail_if_infeasible(base::time_point now) {
    const base::duration remaining = request_.deadline - now;
    const base::duration min_remaining = deadline_shares_.min_remaining_time(progress_.stage_index());
    if (remaining > base::duration::zero() && remaining >= min_remaining) {
        return false;
    }
    const std::string detail = "stage " + progress_.stage().name + ": " + std::to_string(remaining.count()) +
                               " us left, but the remaining stages usually take " +
                               std::to_string(min_remaining.count()) + " us";
    fail_request(base::problem_kind::deadline_exceeded, detail, now);
    return true;
}

base::time_point execution::state::stage_deadline() const {
    // An idempotent stage is abandoned when the later stages can no longer finish in time. A non-idempotent
    // stage continues until the deadline because its response still determines the outcome.
    if (!progress_.stage().idempotent) {
        return request_.deadline;
    }
    return request_.deadline - deadline_shares_.min_remaining_time(progress_.stage_index() + 1);
}

void execution::state::check_deadlines(base::time_point now) {
    if (ended_ || !started_) {
        return;
    }
    if (now >= request_.deadline || now >= stage_deadline()) {
        fail_request(base::problem_kind::deadline_exceeded,
                     "stage " + progress_.stage().name + " did not complete in time", now);
        return;
    }
    const std::optional<base::time_point> hedge = next_hedge_time(now);
    if (hedge && now >= *hedge) {
        hedge_requested_ = true;
        request_endpoint(attempt_purpose::hedge, now);
    }
}

void execution::state::update_timer(base::time_point now) {
    if (ended_ || !started_) {
        return;
    }
    const base::time_point next_timer =
        std::min(stage_deadline(), next_hedge_time(now).value_or(stage_deadline()));
    if (timer_ != next_timer) {
        timer_ = next_timer;
        actions_.emplace_back(set_timer{next_timer});
    }
}

void execution::state::report(const endpoint_session& session, attempt_result result, base::time_point now) {
    actions_.emplace_back(report_endpoint_result{session.endpoint, result, now - session.first_started_at});
}

void execution::state::cancel(const endpoint_session& session, base::time_point now) {
    if (session.started) {
        actions_.emplace_back(cancel_attempt{session.attempt, session.address, session.stream});
        report(session, attempt_result::cancelled, now);
    }
}

void execution::state::cancel_all(base::time_point now) {
    for (const endpoint_session& session : attempt_book_.sessions()) {
        cancel(session, now);
    }
    attempt_book_.clear();
}

void execution::state::cancel_others(attempt_id kept, base::time_point now) {
    std::vector<attempt_id> others;
    for (const endpoint_session& session : attempt_book_.sessions()) {
        if (session.attempt != kept) {
            cancel(session, now);
            others.push_back(session.attempt);
        }
    }
    for (const attempt_id other : others) {
        attempt_book_.remove(other);
    }
}

void execution::state::fail_request(base::problem_kind kind, const std::string& detail,
                                    base::time_point now) {
    cancel_all(now);
    ended_ = true;
    actions_.emplace_back(fail{base::problem{kind, run_outcome_.outcome(), detail}});
}

} // namespace rattanbay::pipeline
