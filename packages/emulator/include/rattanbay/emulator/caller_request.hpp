#pragma once

#include <rattanbay/base/address.hpp>
#include <rattanbay/base/outcome.hpp>
#include <rattanbay/base/time.hpp>
#include <rattanbay/emulator/entry_directory.hpp>
#include <rattanbay/emulator/problem_details.hpp>

#include <cstddef>
#include <string>
#include <variant>
#include <vector>

namespace rattanbay::emulator {

/// Parameters of one request.
struct request_parameters {
    bool idempotent = true;
    /// Suffix of the idempotency keys, chosen by the caller and unique per request.
    std::string key_suffix;
    base::time_point deadline;
    /// Maximum number of sends, including the first one.
    std::size_t max_sends = 4;
};

/// The request is to be sent, or the missing entry list has been fetched.
struct request_ready {};

/// A complete response with a success status was received.
struct request_succeeded {};

/// A problem document was received.
struct request_refused {
    problem_details problem;
};

/// The connection could not be opened, so nothing was sent.
struct connect_failed {};

/// No valid response was received although the server may have processed the request: the
/// connection broke or timed out, or the response violated the protocol.
struct response_lost {};

using request_event =
    std::variant<request_ready, request_succeeded, request_refused, connect_failed, response_lost>;

/// Sends the request after the backoff. Followed by any event except `request_ready`.
struct send_request {
    base::address address;
    /// Idempotency key; empty for an idempotent request.
    std::string key;
    base::duration backoff{};
};

/// Fetches the entry list. Followed by `request_ready`.
struct fetch_entries {};

/// Ends the request.
struct finish_request {
    base::outcome outcome = base::outcome::unknown;
    /// Type of the final problem document; empty on success, "no_answer" if there was no response.
    std::string problem;
};

using request_action = std::variant<send_request, fetch_entries, finish_request>;

/// State machine of one request in the caller protocol. It selects the entry VM and the idempotency
/// key of each send and decides on retries. A non-idempotent request gets a new key only after a
/// response states that the previous key was not executed.
class caller_request {
public:
    explicit caller_request(request_parameters parameters)
        : parameters_(std::move(parameters)) {}

    /// Processes an event and returns the next action.
    request_action handle(const request_event& event, entry_directory& entries, base::time_point now);

    /// Idempotency keys used so far, in order.
    const std::vector<std::string>& keys() const { return keys_; }

    /// Number of times the request was sent.
    std::size_t send_count() const { return send_count_; }

private:
    struct visitor;

    request_action start(entry_directory& entries, base::time_point now);
    request_action handle_refusal(const problem_details& problem, entry_directory& entries,
                                  base::time_point now);
    request_action handle_connect_failure(entry_directory& entries, base::time_point now);
    request_action handle_lost_response(entry_directory& entries, base::time_point now);
    /// Sends to the next entry. A non-idempotent request without a key gets one with that entry's
    /// prefix.
    request_action send_to_next_entry(entry_directory& entries, base::time_point now,
                                      std::string last_problem);
    request_action send(const base::address& address);
    request_action finish(base::outcome outcome, std::string problem) const;
    bool can_send(base::time_point now) const;
    void use_new_key(const std::string& prefix);

    request_parameters parameters_;
    std::vector<base::address> tried_entries_;
    base::address current_;
    /// Current key; empty if there is none.
    std::string key_;
    /// Whether the current key may have been executed without a definite response.
    bool key_in_doubt_ = false;
    std::vector<std::string> keys_;
    std::size_t send_count_ = 0;
};

} // namespace rattanbay::emulator
