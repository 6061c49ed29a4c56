#pragma once

#include "input_stages.hpp"
#include "quarantine_exchange.hpp"
#include "shared_state.hpp"

#include <rattanbay/base/problem.hpp>
#include <rattanbay/http/client_connection.hpp>
#include <rattanbay/http/server.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rattanbay::daemon::internal {

/// Request with its route and account.
struct relay_input {
    relay::client_request request;
    std::shared_ptr<const relay_serving_state> serving;
    const config::relay_route* route = nullptr;
    std::optional<base::account_id> account;
    int urgency = 0;
    base::time_point arrival;
};

/// Relays one request: runs its input stages, sends it to an endpoint, forwards the response and retries at
/// other endpoints where that is allowed. Runs on the strand of the client's connection.
class relay_run : public std::enable_shared_from_this<relay_run> {
public:
    relay_run(shared_state& shared, std::shared_ptr<piece_router> router,
              std::shared_ptr<quarantine_exchange> quarantine, asio::any_io_executor executor,
              relay_input input);

    /// Relays the request and sends the client its response.
    asio::awaitable<void> execute(http::responder& out);

private:
    /// Attempt at one endpoint.
    struct attempt {
        relay::chosen_endpoint endpoint;
        std::unique_ptr<http::client_connection> connection;
        base::time_point start;
        /// Time to the response or the first event.
        std::optional<base::duration> first_byte;
        std::string detail;
        bool reused = false;
    };

    /// Whether the client has closed its connection, also if that was not processed yet.
    bool has_client_left(http::responder& out);
    void handle_disconnect();
    /// Ends the request with a final answer, as the daemon is about to exit.
    void end_early();
    /// Whether a part of the prompt is quarantined, so that the request may not be sent (again).
    bool is_quarantined();
    void schedule_input_release();
    asio::awaitable<bool> prepare_inputs(http::responder& out);
    asio::awaitable<void> make_attempts(http::responder& out);
    std::optional<relay::chosen_endpoint> choose_endpoint();
    /// Records the result of an attempt and returns whether another one is allowed. A retry of a request that
    /// was sent spends from the resend budget.
    bool should_retry(relay::attempt_result result);
    asio::awaitable<relay::attempt_result> perform_attempt(attempt& current, http::responder& out);
    asio::awaitable<bool> connect(attempt& current);
    asio::awaitable<relay::attempt_result> read_response(attempt& current, http::responder& out);
    asio::awaitable<relay::attempt_result>
    forward_response(attempt& current, const relay::endpoint_response_header& header, http::responder& out);
    asio::awaitable<relay::attempt_result>
    forward_stream(attempt& current, const relay::endpoint_response_header& header, http::responder& out);
    asio::awaitable<std::optional<relay::attempt_result>>
    forward_events(const relay::endpoint_response_header& header, http::responder& out);
    relay::attempt_result failure_result(attempt& current, const base::error& reason) const;
    base::duration attempt_timeout() const;
    base::duration silence_timeout() const;
    base::duration remaining_time() const;
    base::duration retry_delay();
    asio::awaitable<void> send_failure(http::responder& out);
    asio::awaitable<void> send_problem(http::responder& out, base::problem_kind kind, base::outcome outcome,
                                       std::string detail);
    void record_attempt(const attempt& current, relay::attempt_result result);
    void log_result(std::string_view result);
    /// Size of the request relative to a typical one.
    double relative_size() const;

    shared_state& shared_;
    relay_state& relay_;
    std::shared_ptr<piece_router> piece_router_;
    std::shared_ptr<quarantine_exchange> quarantine_;
    asio::any_io_executor executor_;
    relay_input input_;
    base::random_source random_;
    base::service_name service_;
    base::time_point deadline_;
    std::shared_ptr<input_stages> stages_;
    /// Parts of the prompt that other requests may share.
    const std::vector<relay::part_key> shared_parts_;
    part_admission admission_;
    asio::steady_timer input_release_timer_;
    /// Failure domain where the results of the input stages are placed and the request should run.
    base::failure_domain preferred_domain_;
    relay::event_splitter splitter_;
    std::vector<base::endpoint_id> tried_endpoints_;
    /// Attempts whose request was sent, and attempts that failed before that.
    std::size_t sent_attempts_ = 0;
    std::size_t unsent_attempts_ = 0;
    /// Whether an attempt may have run the request.
    bool may_have_run_ = false;
    relay::attempt_result last_result_ = relay::attempt_result::not_sent;
    /// Error response of an endpoint, forwarded if no other attempt succeeds.
    std::optional<http::response> failure_response_;
    /// Identifier of the last event that was forwarded.
    std::optional<std::string> last_event_id_;
    bool stream_started_ = false;
    bool client_disconnected_ = false;
    bool ended_early_ = false;
    http::client_connection* active_connection_ = nullptr;
    /// VM list from which the last endpoint was chosen: its version, and the time since the platform's last
    /// answer about it.
    object_api::store_revision list_version_;
    base::duration list_age_{};
    /// Times of the last attempt, relative to the arrival of the request.
    std::optional<base::duration> time_to_send_;
    std::optional<base::duration> time_to_first_byte_;
};

} // namespace rattanbay::daemon::internal
