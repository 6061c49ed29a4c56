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

/// A request that is ready to run.
struct run_input {
    pipeline::request work;
    /// Identifier that the caller knows; the time line uses it.
    base::request_id visible_id;
    config::pipeline plan;
    std::shared_ptr<const serving_state> serving;
};

/// What a run came to.
using run_result = std::variant<pipeline::complete, base::problem>;

/// Passes a token to the caller; false when the caller is gone.
using token_sink = std::function<asio::awaitable<bool>(std::uint64_t, std::string)>;

/// Drives one `pipeline::execution`: chooses endpoints, sends its attempts and passes tokens on. All
/// of it runs on one executor, which is a strand.
class run_driver : public std::enable_shared_from_this<run_driver> {
public:
    run_driver(shared_state& shared, asio::any_io_executor executor, run_input input);

    /// Runs the request to its end; called once.
    asio::awaitable<run_result> run(token_sink sink);

private:
    /// An attempt whose end is awaited.
    struct open_attempt {
        pipeline::start_attempt request;
        http::client_connection* connection = nullptr;
        bool cancelled = false;
        bool crosses_domain = false;
        /// Value of the answer's X-Attempt-Id.
        std::optional<std::string> echo;
        /// Tokens of the whole generation, if the engine reports them.
        std::optional<std::uint64_t> token_count;
        std::size_t bytes = 0;
    };

    using open_attempt_ptr = std::shared_ptr<open_attempt>;

    struct pending_token {
        std::uint64_t index = 0;
        std::string text;
    };

    void deliver(pipeline::event happened);
    void carry_out(const pipeline::request_route& action);
    void carry_out(const pipeline::start_attempt& action);
    void carry_out(const pipeline::cancel_attempt& action);
    void carry_out(const pipeline::emit_token& action);
    void carry_out(const pipeline::set_timer& action);
    void carry_out(const pipeline::complete& action);
    void carry_out(const pipeline::give_up& action);
    void carry_out(const pipeline::report_attempt& action);

    asio::awaitable<void> perform(open_attempt_ptr attempt);
    asio::awaitable<base::result<std::unique_ptr<http::client_connection>>> open(open_attempt_ptr attempt);
    asio::awaitable<base::result<http::response_header>>
    send_and_read_head(open_attempt_ptr attempt, http::client_connection& connection);
    asio::awaitable<base::result<std::string>>
    read_answer(open_attempt_ptr attempt, http::client_connection& connection, bool streamed);
    asio::awaitable<base::result<void>> read_stream(open_attempt_ptr attempt,
                                                    http::client_connection& connection);
    void take_chunk(open_attempt& attempt, const std::string& data);
    void keep_connection(const open_attempt& attempt, std::unique_ptr<http::client_connection> connection);
    limits::retry_cause cause_of(pipeline::attempt_purpose purpose) const;
    http::request message_of(const open_attempt& attempt) const;
    void note_endpoint_state(const open_attempt& attempt, const http::fields& fields);
    asio::awaitable<void> drain_tokens(const token_sink& sink);

    shared_state& shared_;
    asio::any_io_executor executor_;
    run_input input_;
    base::random_source random_;
    pipeline::execution execution_;
    std::deque<pipeline::event> events_;
    bool handling_ = false;
    std::map<pipeline::attempt_id, open_attempt_ptr> attempts_;
    std::map<pipeline::attempt_id, bool> crossings_;
    /// Service of each endpoint that was chosen.
    std::map<base::endpoint_id, base::service_name> services_;
    pipeline::attempt_result last_result_ = pipeline::attempt_result::succeeded;
    std::deque<pending_token> tokens_;
    asio::steady_timer timer_;
    asio::steady_timer progress_;
    std::optional<run_result> result_;
};

} // namespace rattanbay::daemon::internal
