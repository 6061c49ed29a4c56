#pragma once

#include "shared_state.hpp"

#include <rattanbay/base/problem.hpp>
#include <rattanbay/http/client_connection.hpp>
#include <rattanbay/pipeline.hpp>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>

namespace rattanbay::daemon::internal {

/// Input of a `run_driver`.
struct run_input {
    pipeline::request request;
    /// Identifier known to the caller; used in the time line.
    base::request_id caller_request_id;
    config::pipeline pipeline_config;
    std::shared_ptr<const serving_state> serving;
};

/// Output of a completed run, or the problem that ended it.
using run_result = std::variant<pipeline::complete, base::problem>;

/// Sends a token to the caller. Returns false if the caller has disconnected.
using token_sink = std::function<asio::awaitable<bool>(std::uint64_t, std::string)>;

/// Carries out the actions of a `pipeline::execution`: chooses endpoints, sends attempts and forwards tokens.
/// Everything runs on one executor, which must be a strand.
class run_driver : public std::enable_shared_from_this<run_driver> {
public:
    run_driver(shared_state& shared, asio::any_io_executor executor, run_input input);

    /// Runs the request to completion. Must be called only once.
    asio::awaitable<run_result> run(token_sink sink);

private:
    /// An attempt in progress.
    struct active_attempt {
        pipeline::start_attempt request;
        http::client_connection* connection = nullptr;
        bool cancelled = false;
        bool crosses_domain = false;
        /// Value of X-Attempt-Id in the response.
        std::optional<std::string> echo;
        /// Total number of generated tokens, if reported by the engine.
        std::optional<std::uint64_t> token_count;
        std::size_t bytes = 0;
    };

    using active_attempt_ptr = std::shared_ptr<active_attempt>;

    struct pending_token {
        std::uint64_t index = 0;
        std::string text;
    };

    void dispatch(pipeline::event event);
    void carry_out(const pipeline::request_route& action);
    void carry_out(const pipeline::start_attempt& action);
    void carry_out(const pipeline::cancel_attempt& action);
    void carry_out(const pipeline::emit_token& action);
    void carry_out(const pipeline::set_timer& action);
    void carry_out(const pipeline::complete& action);
    void carry_out(const pipeline::fail& action);
    void carry_out(const pipeline::report_endpoint_result& action);

    asio::awaitable<void> run_attempt(active_attempt_ptr attempt);
    asio::awaitable<base::result<std::unique_ptr<http::client_connection>>>
    connect(active_attempt_ptr attempt);
    asio::awaitable<base::result<http::response_header>>
    send_and_read_header(active_attempt_ptr attempt, http::client_connection& connection);
    asio::awaitable<base::result<std::string>>
    read_response_body(active_attempt_ptr attempt, http::client_connection& connection, bool streamed);
    asio::awaitable<base::result<void>> read_stream(active_attempt_ptr attempt,
                                                    http::client_connection& connection);
    void handle_chunk(active_attempt& attempt, const std::string& data);
    void release_connection(const active_attempt& attempt,
                            std::unique_ptr<http::client_connection> connection);
    limits::retry_cause retry_cause_for(pipeline::attempt_purpose purpose) const;
    http::request build_request(const active_attempt& attempt) const;
    void update_endpoint_state(const active_attempt& attempt, const http::fields& fields);
    asio::awaitable<void> forward_tokens(const token_sink& sink);

    shared_state& shared_;
    asio::any_io_executor executor_;
    run_input input_;
    base::random_source random_;
    pipeline::execution execution_;
    std::deque<pipeline::event> events_;
    bool dispatching_ = false;
    std::map<pipeline::attempt_id, active_attempt_ptr> attempts_;
    std::map<pipeline::attempt_id, bool> attempt_crosses_domain_;
    /// Service of each endpoint chosen so far.
    std::map<base::endpoint_id, base::service_name> endpoint_services_;
    pipeline::attempt_result last_result_ = pipeline::attempt_result::succeeded;
    std::deque<pending_token> pending_tokens_;
    asio::steady_timer timer_;
    asio::steady_timer wakeup_;
    std::optional<run_result> result_;
};

} // namespace rattanbay::daemon::internal
