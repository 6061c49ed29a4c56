#pragma once

#include "internal/attempt_book.hpp"
#include "internal/deadline_shares.hpp"
#include "internal/run_outcome.hpp"
#include "internal/stage_progress.hpp"

#include <rattanbay/base/problem.hpp>
#include <rattanbay/pipeline/execution.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace rattanbay::pipeline {

/// Implementation of an execution. The components in internal/ are independent of each other; the rules
/// that combine them are here.
class execution::state {
public:
    state(request req, config::pipeline pipeline_config, std::vector<config::service> services,
          std::vector<service_times> times);

    std::vector<action> handle(const event& ev, base::time_point now);

    bool ended() const { return ended_; }

private:
    using endpoint_session = internal::endpoint_session;

    void on(const started& ev, base::time_point now);
    void on(const route_chosen& ev, base::time_point now);
    void on(const route_refused& ev, base::time_point now);
    void on(const attempt_not_sent& ev, base::time_point now);
    void on(const token_received& ev, base::time_point now);
    void on(const response_received& ev, base::time_point now);
    void on(const attempt_failed& ev, base::time_point now);
    void on(const timer_expired& ev, base::time_point now);
    void on(const caller_disconnected& ev, base::time_point now);

    void begin_stage(base::time_point now);
    void end_stage(internal::stage_output output, base::time_point now);
    void request_endpoint(attempt_purpose purpose, base::time_point now);
    void send_attempt(endpoint_session& session, internal::endpoint_call call, base::time_point now);

    /// Repeats the session's attempt on a new connection to the same endpoint.
    void retry_on_new_connection(endpoint_session& session, base::time_point now);

    /// Resumes the session's broken stream if possible, otherwise fails the session.
    void resume_or_fail(endpoint_session& session, attempt_result result, const std::string& reason,
                        base::time_point now);

    /// Cancels a connection that delivered an unexpected token, then resumes the stream or fails the session.
    void abort_connection(endpoint_session& session, const std::string& reason, base::time_point now);

    /// Handles a response with a status other than 2xx.
    void on_error_status(endpoint_session& session, int status, base::time_point now);

    /// Handles a complete response with status 2xx.
    void on_success(endpoint_session& session, const std::string& body, base::time_point now);

    /// Ends a failed session and retries the stage if that was its last session.
    void fail_session(endpoint_session& session, attempt_result result, const std::string& reason,
                      base::time_point now);

    /// Requests another endpoint after all sessions of the stage failed, or fails the request.
    void retry(base::time_point now);

    /// Whether the current stage may be retried or hedged now.
    bool can_retry(base::time_point now) const;

    /// Whether the current stage's tokens are sent to the caller.
    bool emits_tokens() const;

    /// Whether a token of the current stage was sent to the caller.
    bool has_emitted_token() const { return emits_tokens() && token_emitted_; }

    internal::endpoint_call make_call() const;

    /// Fails the request and returns true if the remaining stages usually take longer than the time left.
    bool fail_if_infeasible(base::time_point now);

    /// Time after which the current stage is abandoned.
    base::time_point stage_deadline() const;

    /// Time at which the current stage is hedged, if a hedge is allowed.
    std::optional<base::time_point> next_hedge_time(base::time_point now) const;

    void check_deadlines(base::time_point now);
    void update_timer(base::time_point now);

    void report(const endpoint_session& session, attempt_result result, base::time_point now);
    void cancel(const endpoint_session& session, base::time_point now);
    void cancel_all(base::time_point now);
    void cancel_others(attempt_id kept, base::time_point now);
    void fail_request(base::problem_kind kind, const std::string& detail, base::time_point now);

    request request_;
    bool idempotent_pipeline_;
    internal::stage_progress progress_;
    internal::deadline_shares deadline_shares_;
    internal::attempt_book attempt_book_;
    internal::run_outcome run_outcome_;
    /// End of the current stage's budget. The stage is neither retried nor hedged after it.
    base::time_point stage_budget_end_;
    std::uint32_t route_count_ = 0;
    bool hedge_requested_ = false;
    bool token_emitted_ = false;
    /// Tokens of the current stage that were emitted before the last session failed.
    std::vector<std::string> emitted_tokens_;
    /// Error of the last failed session of the current stage.
    std::optional<std::string> last_error_;
    bool started_ = false;
    bool ended_ = false;
    bool caller_disconnected_ = false;
    std::optional<base::time_point> timer_;
    std::vector<action> actions_;
};

} // namespace rattanbay::pipeline
