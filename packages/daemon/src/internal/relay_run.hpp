#pragma once

#include "input_stages.hpp"
#include "shared_state.hpp"

#include <rattanbay/base/problem.hpp>
#include <rattanbay/http/client_connection.hpp>
#include <rattanbay/http/server.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rattanbay::daemon::internal {

/// A request that a route was found for.
struct relay_input {
    relay::client_request request;
    std::shared_ptr<const relay_serving> serving;
    const config::relay_route* route = nullptr;
    std::optional<base::account_id> account;
    int urgency = 0;
    base::time_point arrival;
};

/// Relays one request: has its stages done, sends it to an endpoint, passes the answer on, and sends
/// it again where that is allowed. Runs on the strand of the client's connection.
class relay_run : public std::enable_shared_from_this<relay_run> {
public:
    relay_run(shared_state& shared, std::shared_ptr<piece_router> pieces, asio::any_io_executor executor,
              relay_input input);

    /// Relays the request to its end and answers the client.
    asio::awaitable<void> execute(http::responder& out);

private:
    /// An attempt at one endpoint.
    struct attempt {
        relay::chosen_endpoint endpoint;
        std::unique_ptr<http::client_connection> connection;
        base::time_point start;
        /// Time to the answer or the first event.
        std::optional<base::duration> first_byte;
        std::string detail;
        bool reused = false;
    };

    void depart();
    void release_inputs_when_fetched();
    asio::awaitable<bool> prepare_inputs(http::responder& out);
    asio::awaitable<void> make_attempts(http::responder& out);
    std::optional<relay::chosen_endpoint> choose();
    bool may_go_on(relay::attempt_result end);
    asio::awaitable<relay::attempt_result> perform(attempt& current, http::responder& out);
    asio::awaitable<bool> connect(attempt& current);
    asio::awaitable<relay::attempt_result> read_answer(attempt& current, http::responder& out);
    asio::awaitable<relay::attempt_result>
    pass_whole(attempt& current, const relay::endpoint_response_head& head, http::responder& out);
    asio::awaitable<relay::attempt_result>
    pass_stream(attempt& current, const relay::endpoint_response_head& head, http::responder& out);
    asio::awaitable<std::optional<relay::attempt_result>>
    pass_events(const relay::endpoint_response_head& head, http::responder& out);
    relay::attempt_result failed(attempt& current, const base::error& reason) const;
    base::duration attempt_limit() const;
    base::duration silence_limit() const;
    base::duration left() const;
    base::duration comeback_time();
    asio::awaitable<void> give_up(http::responder& out);
    asio::awaitable<void> refuse(http::responder& out, base::problem_kind kind, base::outcome outcome,
                                 std::string detail);
    void note_attempt(const attempt& current, relay::attempt_result end);
    void log_end(std::string_view result);
    double size() const;

    shared_state& shared_;
    relay_state& relay_;
    std::shared_ptr<piece_router> pieces_;
    asio::any_io_executor executor_;
    relay_input input_;
    base::random_source random_;
    base::service_name service_;
    base::time_point deadline_;
    std::shared_ptr<input_stages> stages_;
    asio::steady_timer fetched_;
    /// Where the results of the stages are, if they are large; the request should run there.
    base::failure_domain near_;
    relay::event_splitter splitter_;
    std::vector<base::endpoint_id> tried_;
    /// Attempts of which something was sent.
    std::size_t sent_ = 0;
    std::size_t unsent_ = 0;
    /// Whether an attempt may have run the request.
    bool may_have_run_ = false;
    relay::attempt_result last_end_ = relay::attempt_result::not_sent;
    /// A failure that an endpoint answered with, passed on if nothing better comes.
    std::optional<http::response> failure_answer_;
    /// Identifier of the last event that was passed on.
    std::optional<std::string> last_event_;
    bool streaming_ = false;
    bool departed_ = false;
    http::client_connection* active_ = nullptr;
    /// Times of the last attempt, from the arrival of the request.
    std::optional<base::duration> sent_after_;
    std::optional<base::duration> first_byte_after_;
};

} // namespace rattanbay::daemon::internal
