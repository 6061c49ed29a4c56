#pragma once

#include <rattanbay/base/address.hpp>
#include <rattanbay/base/identifier.hpp>
#include <rattanbay/base/time.hpp>
#include <rattanbay/http/message.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace rattanbay::relay {

/// A part of a prompt, which several requests may have in common.
struct prompt_part {
    std::string id;
    std::uint64_t tokens = 0;
};

/// A prompt as its request announces it.
struct prompt {
    std::vector<prompt_part> parts;
    std::uint64_t input_tokens = 0;
    /// Most tokens that the answer has.
    std::uint64_t most_output_tokens = 0;
    /// The client's estimate of the answer's tokens, 0 for none.
    std::uint64_t expected_output_tokens = 0;

    /// Identifier of the part that requests of one session or subject share, or nothing.
    std::optional<std::string> shared_part() const {
        return parts.size() < 2 ? std::nullopt : std::optional<std::string>(parts[parts.size() - 2].id);
    }
};

/// A client's request.
struct call {
    /// Unique to this try of the client.
    base::request_id id;
    std::string host;
    /// Path without the query.
    std::string path;
    /// How long the client waits.
    std::optional<base::duration> time_left;
    /// Key of the client's account.
    std::optional<std::string> key;
    /// Identifier of the last event that the client has of a stream.
    std::optional<std::string> resume_after;
    std::optional<relay::prompt> prompt;
    /// Pieces of each stage of the route.
    std::vector<std::size_t> stage_pieces;
    /// Names the input of the pieces.
    std::string piece_key;
    /// The request itself.
    http::request message;
};

/// How a call is sent to an endpoint.
struct send_order {
    base::endpoint_id endpoint;
    base::duration time_left{};
    std::optional<base::account_id> account;
    /// Handles of the results that the request needs.
    std::vector<std::string> inputs;
    /// 0 goes first.
    std::optional<int> urgency;
    /// Continues a stream behind this event.
    std::optional<std::string> resume_after;
};

/// Work in progress and waiting at an endpoint, as it reports it.
struct endpoint_load {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
};

/// The head of an endpoint's answer.
struct answer_head {
    int status = 0;
    /// Identifier of the request that the answer is for, when it says so.
    std::optional<base::request_id> answers;
    /// Whether the endpoint signed the answer as its own.
    bool is_signed = false;
    /// Whether the endpoint says that it has not run the request and never will.
    bool not_run = false;
    /// Whether the body is a stream of events.
    bool is_event_stream = false;
    /// Whether the body is coded in a way that the client did not ask for.
    bool is_coded = false;
    /// Load of the endpoint, when it reports it.
    std::optional<endpoint_load> load;
    /// Fields to pass on to the client.
    http::fields fields;
};

/// One piece of a stage that a worker pool is to make.
struct piece_order {
    base::request_id call;
    std::size_t stage = 0;
    std::size_t piece = 0;
    base::duration time_left{};
    /// Names the input of a piece of a first stage.
    std::string key;
    /// Handles of the results that the piece needs.
    std::vector<std::string> inputs;
};

/// All pieces of one stage of a request; they have the same inputs.
struct stage_order {
    base::request_id call;
    std::size_t stage = 0;
    std::size_t pieces = 0;
    std::string key;
    std::vector<std::string> inputs;
    /// Usual size of one result.
    std::uint64_t result_bytes = 0;
    /// Rank of the request, 0 goes first.
    int urgency = 0;
    /// Usual size of all inputs, which each piece fetches.
    std::uint64_t input_bytes = 0;
};

/// Why a piece was not made.
enum class piece_failure { late, input_gone, no_room, failed };

/// What became of a piece: the handle of its result or the reason why there is none.
struct piece_result {
    std::optional<std::string> handle;
    piece_failure failure = piece_failure::failed;
};

/// What a caller wants to know when it asks for the daemons to use.
struct entries_question {
    base::failure_domain failure_domain;
};

} // namespace rattanbay::relay
