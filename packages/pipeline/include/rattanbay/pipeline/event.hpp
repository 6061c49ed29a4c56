#pragma once

#include <rattanbay/base/address.hpp>
#include <rattanbay/base/enum_names.hpp>
#include <rattanbay/base/error.hpp>
#include <rattanbay/base/identifier.hpp>
#include <rattanbay/base/time.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace rattanbay::pipeline {

/// Attempt number, unique within an execution.
struct attempt_id {
    std::uint32_t value = 0;

    friend bool operator==(const attempt_id&, const attempt_id&) = default;
    friend std::strong_ordering operator<=>(const attempt_id&, const attempt_id&) = default;
};

/// Starts the execution.
struct started {};

/// The endpoint chosen for a `request_route`.
struct route_chosen {
    attempt_id attempt;
    base::endpoint_id endpoint;
    base::address address;
    /// Estimated duration of the call.
    base::duration estimate{};
};

/// Why no endpoint was chosen.
enum class route_refusal { no_endpoint, retry_budget_exhausted };

/// No endpoint was chosen for a `request_route`.
struct route_refused {
    attempt_id attempt;
    route_refusal reason = route_refusal::no_endpoint;
};

/// The attempt failed before any byte of it was written to a socket.
struct attempt_not_sent {
    attempt_id attempt;
    base::error reason;
};

/// One token of a streamed response. Index 0 is the first token of the generation.
struct token_received {
    attempt_id attempt;
    /// Stream identifier at the engine, used to resume or cancel the stream.
    std::string stream;
    std::uint64_t index = 0;
    std::string text;
    /// Value of the response's X-Attempt-Id header, if present. It is repeated with each token so that a
    /// response to another attempt is detected before its first token is emitted.
    std::optional<std::string> echo = std::nullopt;
};

/// The complete response was received. For a streamed attempt this follows the end-of-stream marker and
/// `body` is empty. The driver closes the connection if `echo` differs from the attempt's header.
struct response_received {
    attempt_id attempt;
    int status = 0;
    std::string body;
    /// Value of the response's X-Attempt-Id header, if present.
    std::optional<std::string> echo;
    /// For a stream, the number of tokens in the complete generation if the engine reports it
    /// (`usage.completion_tokens` of the last chunk). Without it, tokens missing just before the
    /// end-of-stream marker cannot be detected.
    std::optional<std::uint64_t> tokens = std::nullopt;
};

/// The attempt failed after the endpoint may have received part of it. `reason.code` is `timed_out` if
/// the connection stopped responding.
struct attempt_failed {
    attempt_id attempt;
    base::error reason;
};

/// The timer set by `set_timer` expired.
struct timer_expired {};

/// The caller closed its connection.
struct caller_disconnected {};

using event = std::variant<started, route_chosen, route_refused, attempt_not_sent, token_received,
                           response_received, attempt_failed, timer_expired, caller_disconnected>;

} // namespace rattanbay::pipeline
