#pragma once

#include <rattanbay/base/address.hpp>
#include <rattanbay/base/enum_names.hpp>
#include <rattanbay/base/identifier.hpp>
#include <rattanbay/base/problem.hpp>
#include <rattanbay/base/time.hpp>
#include <rattanbay/pipeline/event.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace rattanbay::pipeline {

/// Why an attempt is made. `retry` and `hedge` consume the retry budget. A route that replaces an
/// attempt of which nothing was sent is `first` again, because it repeats no work.
enum class attempt_purpose { first, retry, hedge };

/// Requests an endpoint. The driver responds with `route_chosen` or `route_refused`.
struct request_route {
    attempt_id attempt;
    base::service_name service;
    attempt_purpose purpose = attempt_purpose::first;
    /// Endpoints already tried for this stage.
    std::vector<base::endpoint_id> excluded;
    base::duration time_left{};
};

/// Sends an attempt. Exactly one of `attempt_not_sent`, `response_received` and `attempt_failed`
/// ends it unless it is cancelled first.
struct start_attempt {
    attempt_id attempt;
    std::size_t stage = 0;
    base::endpoint_id endpoint;
    base::address address;
    /// URL path at the endpoint, for example "/v1/call".
    std::string path;
    /// JSON text.
    std::string body;
    /// Value of the X-Attempt-Id header.
    std::string attempt_header;
    /// Whether the response is a stream of tokens.
    bool streamed = false;
    /// Whether a new connection is required, so that no byte of the request is sent twice.
    bool new_connection = false;
    /// Value of the Idempotency-Key header; set for plain services only.
    std::optional<std::string> idempotency_key = std::nullopt;
    /// Maximum wait for the response header.
    base::duration header_timeout{};
    base::time_point deadline;
};

/// Cancels an attempt; its later events are ignored. If `stream` is set, the stream is also cancelled
/// at its engine. In that case the attempt may have ended already: its connection broke and the stream
/// is not resumed.
struct cancel_attempt {
    attempt_id attempt;
    base::address address;
    std::optional<std::string> stream;
};

/// Sends a token to the caller. Each index is emitted once and in order.
struct emit_token {
    std::uint64_t index = 0;
    std::string text;
};

/// Sets the execution's only timer, replacing an earlier one.
struct set_timer {
    base::time_point at;
};

/// Number of attempts and duration of a completed stage.
struct stage_report {
    std::string name;
    std::uint32_t attempts = 0;
    base::duration elapsed{};
};

/// Ends the execution successfully.
struct complete {
    /// Output of the last stage as JSON text.
    std::string output;
    std::vector<stage_report> stages;
    std::uint64_t tokens = 0;
};

/// Ends the execution with a rejection or failure.
struct fail {
    base::problem problem;
};

/// Result of the calls to an endpoint, used by the router's estimates.
enum class attempt_result { succeeded, failed, refused_connection, went_silent, cancelled };

/// Reports to the router that an endpoint is no longer in use. There is exactly one report for each
/// `route_chosen`, regardless of how many attempts were made at that endpoint.
struct report_endpoint_result {
    base::endpoint_id endpoint;
    attempt_result result = attempt_result::succeeded;
    base::duration elapsed{};
};

using action = std::variant<request_route, start_attempt, cancel_attempt, emit_token, set_timer, complete,
                            fail, report_endpoint_result>;

} // namespace rattanbay::pipeline

template <> struct rattanbay::base::enum_names<rattanbay::pipeline::attempt_purpose> {
    static constexpr std::array<enum_name<pipeline::attempt_purpose>, 3> table{{
        {pipeline::attempt_purpose::first, "first"},
        {pipeline::attempt_purpose::retry, "retry"},
        {pipeline::attempt_purpose::hedge, "hedge"},
    }};
};

template <> struct rattanbay::base::enum_names<rattanbay::pipeline::attempt_result> {
    static constexpr std::array<enum_name<pipeline::attempt_result>, 5> table{{
        {pipeline::attempt_result::succeeded, "succeeded"},
        {pipeline::attempt_result::failed, "failed"},
        {pipeline::attempt_result::refused_connection, "refused_connection"},
        {pipeline::attempt_result::went_silent, "went_silent"},
        {pipeline::attempt_result::cancelled, "cancelled"},
    }};
};
