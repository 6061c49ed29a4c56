#pragma once

#include <rattanbay/base/address.hpp>
#include <rattanbay/base/enum_names.hpp>
#include <rattanbay/base/identifier.hpp>
#include <rattanbay/base/time.hpp>
#include <rattanbay/http/message.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rattanbay::relay {

/// Part of a prompt that several requests may share.
struct prompt_part {
    std::string id;
    std::uint64_t tokens = 0;
};

/// Description of a prompt, as announced by the request.
struct prompt {
    std::vector<prompt_part> parts;
    std::uint64_t input_tokens = 0;
    /// Maximum number of tokens in the response.
    std::uint64_t max_output_tokens = 0;
    /// The client's estimate of the number of tokens in the response, 0 if it gave none.
    std::uint64_t expected_output_tokens = 0;

    /// Identifier of the part that requests of one session or subject share; empty for prompts with fewer
    /// than two parts.
    std::optional<std::string> shared_part() const {
        return parts.size() < 2 ? std::nullopt : std::optional<std::string>(parts[parts.size() - 2].id);
    }
};

/// Request of a client.
struct client_request {
    /// Unique for each attempt of the client.
    base::request_id id;
    std::string host;
    /// Path without the query.
    std::string path;
    /// Time that the client still waits for the response.
    std::optional<base::duration> time_left;
    /// API key of the client account.
    std::optional<std::string> key;
    /// Last event of the stream that the client has received.
    std::optional<std::string> last_event_id;
    /// The client's attempt that brought the first event of the stream that this request resumes.
    std::optional<base::request_id> resumed_attempt;
    std::optional<relay::prompt> prompt;
    /// Number of pieces of each stage of the route.
    std::vector<std::size_t> piece_counts;
    /// Identifies the input of the pieces of the first stages.
    std::string piece_key;
    /// The request as received.
    http::request message;
};

/// Options for sending a client's request to an endpoint.
struct send_options {
    base::endpoint_id endpoint;
    base::duration time_left{};
    std::optional<base::account_id> account;
    /// Handles of the stage results that the request needs.
    std::vector<std::string> inputs;
    /// Scheduling priority; 0 is served first.
    std::optional<int> urgency;
    /// Continues a stream after this event.
    std::optional<std::string> last_event_id;
};

/// Requests in progress and waiting at an endpoint, as reported by the endpoint.
struct endpoint_load {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    /// Time that work takes on the endpoint's machine now, in percent of the usual one; at least 1.
    std::optional<std::uint32_t> work_percent = std::nullopt;
};

/// Head of an endpoint's response.
struct endpoint_response_header {
    int status = 0;
    /// Request that the response belongs to, if the response names it.
    std::optional<base::request_id> request_id;
    /// Whether the endpoint signed the response.
    bool is_signed = false;
    /// Whether the endpoint reports that it has not run the request and never will.
    bool not_run = false;
    /// Whether the status alone tells clients that the request has not run and never will.
    bool has_refusal_status = false;
    /// Whether another endpoint than the expected one received the request, at the expected one's address.
    bool is_misdirected = false;
    /// Whether the body is a stream of events.
    bool is_event_stream = false;
    /// Whether the body has a content encoding, which the client did not ask for.
    bool has_content_encoding = false;
    /// Whether the endpoint is leaving and wants no further requests.
    bool is_leaving = false;
    /// Time for which the endpoint, which is overloaded, wants no requests from this daemon.
    std::optional<base::duration> retry_after;
    /// Requests per second that the endpoint takes from all daemons together, if it names a limit.
    std::optional<double> request_limit;
    /// Time for which the endpoint remains cold, if it says so; at least 0.
    std::optional<base::duration> cold_time_left;
    /// Load of the endpoint, if it reports it.
    std::optional<endpoint_load> load;
    /// Header fields to pass on to the client.
    http::fields fields;
};

/// One piece of a stage to be computed by a worker pool.
struct piece_order {
    base::request_id request;
    std::size_t stage = 0;
    std::size_t piece = 0;
    base::duration time_left{};
    /// Identifies the input of a piece of a first stage.
    std::string key;
    /// Handles of the results that the piece needs, shared by all pieces of the stage; null if it needs none.
    std::shared_ptr<const std::vector<std::string>> inputs;
};

/// All pieces of one stage of a request; they share the same inputs.
struct stage_order {
    base::request_id request;
    std::size_t stage = 0;
    std::size_t pieces = 0;
    std::string key;
    std::vector<std::string> inputs;
    /// Typical size of one result.
    std::uint64_t result_bytes = 0;
    /// Scheduling priority of the request; 0 is served first.
    int urgency = 0;
    /// Typical total size of the inputs; each piece fetches all of them.
    std::uint64_t input_bytes = 0;
};

/// Why a piece was not computed.
/// With `scheduler_stopping`, nothing of the stage has run, and the next scheduler takes it.
enum class piece_failure { deadline_exceeded, input_missing, out_of_space, failed, scheduler_stopping };

/// Outcome of a piece: the handle of its result, or the failure if there is none.
struct piece_result {
    std::optional<std::string> handle;
    piece_failure failure = piece_failure::failed;
};

/// Caller's query for the daemons to use.
struct entries_query {
    base::failure_domain failure_domain;
};

} // namespace rattanbay::relay

template <> struct rattanbay::base::enum_names<rattanbay::relay::piece_failure> {
    static constexpr std::array<enum_name<relay::piece_failure>, 5> table{{
        {relay::piece_failure::deadline_exceeded, "deadline_exceeded"},
        {relay::piece_failure::input_missing, "input_missing"},
        {relay::piece_failure::out_of_space, "out_of_space"},
        {relay::piece_failure::failed, "failed"},
        {relay::piece_failure::scheduler_stopping, "scheduler_stopping"},
    }};
};
