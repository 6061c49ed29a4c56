#pragma once

#include "input_stages.hpp"
#include "quarantine_exchange.hpp"
#include "relay_attempt.hpp"
#include "shared_state.hpp"
#include "stream_origin_exchange.hpp"

#include <rattanbay/base/enum_names.hpp>
#include <rattanbay/base/problem.hpp>
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

/// Whether a replacement for a silent attempt is begun, or why not.
enum class replacement_decision { begun, no_attempt, no_time, no_endpoint, no_budget, quarantined };

/// Relays one request: runs its input stages, sends it to an endpoint, forwards the response and retries at
/// other endpoints where that is allowed. Runs on the strand of the client's connection.
class relay_run : public std::enable_shared_from_this<relay_run> {
public:
    relay_run(shared_state& shared, std::shared_ptr<piece_router> router,
              std::shared_ptr<quarantine_exchange> quarantine,
              std::shared_ptr<stream_origin_exchange> origins, asio::any_io_executor executor,
              relay_input input);

    /// Relays the request and sends the client its response.
    asio::awaitable<void> execute(http::responder& out);

private:
    /// Second attempt beside a silent one.
    struct replacement {
        std::shared_ptr<relay_attempt> attempt;
        /// Whether its response has begun; it is forwarded then.
        bool begun = false;
        bool cancelled = false;
    };

    /// Whether the client has closed its connection, also if that was not processed yet.
    bool has_client_left();
    void handle_disconnect();
    /// Ends the request with a final answer, as the daemon is about to exit.
    void end_early();
    /// Closes the connections of all attempts and ends the stages in progress.
    void close_attempts();
    /// Whether a part of the prompt is quarantined, so that the request may not be sent (again).
    bool is_quarantined();
    /// Whether what another endpoint sends may follow what the client has got: of a stream, only events after
    /// the last one that it has, from an endpoint of the same software version that resumes there.
    bool may_run_elsewhere() const;
    /// Whether all endpoints that may run the request have got it.
    bool has_used_attempts() const;
    /// Finds where a stream that the client takes up again may go on. Refuses it and returns false if it may
    /// go on nowhere.
    asio::awaitable<bool> prepare_resumption(http::responder& out);
    asio::awaitable<relay::resumption> decide_resumption();
    void log_resumption(const relay::resumption& decision, bool is_available);
    /// End of the client's wait, until which it may take the stream up again.
    base::time_point client_deadline() const;
    bool is_target(const base::service_name& service) const;
    /// Records what begins the stream, before the client gets its first event.
    void record_origin(const relay_attempt& current);
    void schedule_input_release();
    /// Ends all that runs beside the request, at its end.
    void release_resources();
    std::shared_ptr<input_stages> make_stages();
    asio::awaitable<bool> prepare_inputs(http::responder& out);
    /// Produces the inputs again if they were released or have expired. Returns whether they exist.
    asio::awaitable<bool> restore_inputs();
    /// Whether the inputs exist or could be produced again in time.
    bool can_have_inputs() const;
    asio::awaitable<void> answer(http::responder& out);
    /// Ends attempts that an exception has left open, which count at their endpoints.
    void abandon_open_attempts();
    asio::awaitable<void> make_attempts(http::responder& out);
    std::optional<relay::chosen_endpoint> choose_endpoint();
    std::shared_ptr<relay_attempt> begin_attempt(const relay::chosen_endpoint& endpoint);
    /// Idle time up to which a kept connection is used for the attempt; 0 for a new connection.
    base::duration max_idle_time(const relay_attempt& current) const;
    /// Connects and sends the request with its inputs, which have to exist. Returns the result if that fails.
    asio::awaitable<std::optional<relay::attempt_result>> send_attempt(relay_attempt& current);
    asio::awaitable<relay::attempt_result> perform_attempt(relay_attempt& current, http::responder& out);
    asio::awaitable<relay::attempt_result> forward_answer(relay_attempt& current, http::responder& out);
    asio::awaitable<relay::attempt_result> forward_response(relay_attempt& current, http::responder& out);
    asio::awaitable<relay::attempt_result> forward_stream(relay_attempt& current, http::responder& out);
    /// Forwards the complete events that were read. Returns false if the client has left.
    asio::awaitable<bool> forward_events(relay_attempt& current, http::responder& out);
    /// Returns whether another attempt is allowed after this result. A retry of a request that was sent
    /// spends from the resend budget.
    bool should_retry(relay::attempt_result result);
    bool spend_resend();
    relay::attempt_result failure_result(relay_attempt& current, relay::attempt_result result) const;
    relay::attempt_result failure_result(relay_attempt& current, const base::error& reason) const;
    void finish_attempt(relay_attempt& current, relay::attempt_result result);

    /// Silence of the attempt after which a replacement is considered; nothing if the request may not be
    /// repeated.
    std::optional<base::duration> silence_limit(const relay_attempt& current) const;
    void watch_silence();
    void stop_watch();
    /// Ends the watch for silence and cancels a replacement, as the attempt goes on.
    void handle_progress();
    replacement_decision decide_replacement();
    /// Begins a replacement if the attempt has not gone on since it was watched (`progress`).
    asio::awaitable<void> replace_silent_attempt(std::uint64_t progress);
    asio::awaitable<void> make_replacement(std::shared_ptr<replacement> next);
    asio::awaitable<void> run_replacement(std::shared_ptr<replacement> next);
    /// Sends the replacement, trying further endpoints if one cannot be reached. Returns whether it was sent.
    asio::awaitable<bool> send_replacement(replacement& next);
    /// Reads the response until there is something to forward. Returns the result if it fails.
    asio::awaitable<std::optional<relay::attempt_result>> await_answer(relay_attempt& current);
    void cancel_replacement();
    /// Waits for the outcome of a replacement in progress. Returns the attempt if its response has begun.
    asio::awaitable<std::shared_ptr<relay_attempt>> take_replacement();

    /// Time until the answer has to be complete, or until a stream has to begin.
    base::duration remaining_time() const;
    base::duration retry_delay();
    asio::awaitable<void> send_failure(http::responder& out);
    asio::awaitable<void> send_problem(http::responder& out, base::problem_kind kind, base::outcome outcome,
                                       std::string detail);
    void record_attempt(const relay_attempt& current, relay::attempt_result result);
    void log_result(std::string_view result);
    /// Size of the request relative to a typical one.
    double relative_size() const;

    shared_state& shared_;
    relay_state& relay_;
    std::shared_ptr<piece_router> piece_router_;
    std::shared_ptr<quarantine_exchange> quarantine_;
    std::shared_ptr<stream_origin_exchange> origins_;
    /// Attempts that were begun and not finished.
    std::vector<std::shared_ptr<relay_attempt>> open_attempts_;
    asio::any_io_executor executor_;
    relay_input input_;
    base::random_source random_;
    base::service_name service_;
    /// What began the stream, once it has begun. Only endpoints of this software version may go on with it.
    std::optional<relay::stream_origin> origin_;
    /// End of the client's wait or of the route's timeout. An endpoint may work, and a stream that has begun
    /// may go on, until then.
    base::time_point deadline_;
    /// Time by which the request has to be answered, or its stream has to begin, so that the answer arrives
    /// while the client waits.
    base::time_point start_deadline_;
    std::shared_ptr<input_stages> stages_;
    /// Parts of the prompt that other requests may share.
    const std::vector<relay::part_key> shared_parts_;
    part_admission admission_;
    asio::steady_timer input_release_timer_;
    asio::steady_timer silence_timer_;
    /// Cancelled when a replacement has begun or failed.
    asio::steady_timer replacement_signal_;
    /// Failure domain where the results of the input stages are placed and the request should run.
    base::failure_domain preferred_domain_;
    std::vector<base::endpoint_id> tried_endpoints_;
    /// Addresses to which the request was sent. An endpoint may have a new identifier at one of them.
    std::vector<base::address> used_addresses_;
    /// Attempts whose request was sent, also those in progress, and attempts that failed before that.
    std::size_t sent_attempts_ = 0;
    /// Sent attempts that reached another endpoint than the one they were meant for.
    std::size_t misdirected_attempts_ = 0;
    std::size_t unsent_attempts_ = 0;
    /// Whether an attempt may have run the request.
    bool may_have_run_ = false;
    relay::attempt_result last_result_ = relay::attempt_result::not_sent;
    /// Error response of an endpoint, forwarded if no other attempt succeeds.
    std::optional<http::response> failure_response_;
    std::optional<http::response_memory::share> failure_memory_;
    /// Status of the endpoint's complete response that the client gets.
    std::optional<int> forwarded_status_;
    /// Identifier of the last event that was forwarded.
    std::optional<std::string> last_event_id_;
    bool stream_started_ = false;
    /// Software versions whose events were forwarded, in this order; for the log.
    std::vector<std::string> forwarded_versions_;
    bool client_disconnected_ = false;
    bool ended_early_ = false;
    /// Set while the request is handled.
    http::responder* client_ = nullptr;
    /// Attempt whose response is forwarded.
    std::shared_ptr<relay_attempt> active_;
    std::shared_ptr<replacement> replacement_;
    /// Counts how often an attempt went on.
    std::uint64_t progress_ = 0;
    /// VM list from which the last endpoint was chosen: its version, and the time since the platform's last
    /// answer about it.
    object_api::store_revision list_version_;
    base::duration list_age_{};
    /// Times of the last attempt, relative to the arrival of the request.
    std::optional<base::duration> time_to_send_;
    std::optional<base::duration> time_to_first_byte_;
    /// Longest pause between the events that one attempt received, and the calls of this daemon in progress
    /// at its endpoint then.
    std::optional<base::duration> longest_pause_;
    std::uint32_t calls_at_longest_pause_ = 0;
};

} // namespace rattanbay::daemon::internal

template <> struct rattanbay::base::enum_names<rattanbay::daemon::internal::replacement_decision> {
    static constexpr std::array<enum_name<daemon::internal::replacement_decision>, 6> table{{
        {daemon::internal::replacement_decision::begun, "begun"},
        {daemon::internal::replacement_decision::no_attempt, "no_attempt"},
        {daemon::internal::replacement_decision::no_time, "no_time"},
        {daemon::internal::replacement_decision::no_endpoint, "no_endpoint"},
        {daemon::internal::replacement_decision::no_budget, "no_budget"},
        {daemon::internal::replacement_decision::quarantined, "quarantined"},
    }};
};
