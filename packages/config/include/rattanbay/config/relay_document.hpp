#pragma once

#include <rattanbay/base/enum_names.hpp>
#include <rattanbay/base/identifier.hpp>
#include <rattanbay/base/time.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rattanbay::config {

/// What may be done with a request that got no answer.
enum class repeat_rule {
    /// It runs at most once.
    at_most_once,
    /// It may run again from its start.
    idempotent,
    /// A stream that may be continued at another endpoint behind its last event.
    resumable,
};

/// Work that is done before a relayed request runs; its results are the request's inputs.
struct relay_stage {
    base::service_name service;
    /// Indexes of the stages whose results this one needs.
    std::vector<std::size_t> after;
    /// Usual size of one result.
    std::uint64_t result_bytes = 0;
};

/// A service that a route's requests go to, and its share of them.
struct relay_target {
    base::service_name service;
    double weight = 1;
};

/// Where requests of one host and path prefix go, and within which bounds. Requests pass unchanged.
struct relay_route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    repeat_rule repeat = repeat_rule::at_most_once;
    /// Whether the answer is a stream of events.
    bool streamed = false;
    /// Whether requests come without an account's key.
    bool is_public = false;
    /// Whether requests with a common beginning of their prompts should meet at one endpoint.
    bool has_prompts = false;
    /// Longest time that a request is kept waiting.
    base::duration timeout{};
    /// Latency objective: the whole answer, or the first event of a stream.
    base::duration objective{};
    /// Longest pause between two events that still meets the objective.
    base::duration longest_pause{};
    /// 0 goes first.
    int urgency = 0;
    /// Endpoints that may run one request, at least 1.
    std::size_t max_attempts = 1;
    std::vector<relay_target> targets;
    std::vector<relay_stage> stages;
};

/// What one model engine holds and offers.
struct engine_limits {
    /// Requests in one batch.
    std::size_t batch = 0;
    /// Tokens that fit into the KV cache.
    std::uint64_t kv_tokens = 0;
};

/// How one endpoint of a worker pool takes work.
struct piece_limits {
    /// Calls in progress at a time.
    std::size_t slots = 1;
    /// Calls that may wait at the endpoint.
    std::size_t queue = 0;
    /// Pieces in one call.
    std::size_t batch = 1;
    /// Time of a call without its pieces, and of each piece.
    base::duration call_time{};
    base::duration piece_time{};
    /// Room for results.
    std::uint64_t result_room_bytes = 0;
    /// How long a result is kept.
    base::duration result_lifetime{};
    /// Rate at which results are fetched, in megabits a second; 0 when it is not known.
    double result_link_mbps = 0;
};

/// A service that requests or pieces are relayed to.
struct relay_service {
    base::service_name name;
    /// Connections that one endpoint accepts from all daemons together.
    std::size_t max_connections = 0;
    std::optional<engine_limits> engine;
    std::optional<piece_limits> pieces;
};

/// Limits on what clients may send, and how slowly.
struct client_limits {
    std::size_t header_bytes = 16 * 1024;
    std::size_t body_bytes = 4 * 1024 * 1024;
    base::duration header_arrival = std::chrono::seconds(10);
    base::duration idle = std::chrono::seconds(60);
};

/// A client account whose requests are relayed.
struct relay_account {
    base::account_id name;
    /// Takes the place of the route's urgency.
    std::optional<int> urgency;
};

/// The part of an environment document that describes relayed requests.
struct relay_document {
    std::vector<relay_route> routes;
    std::map<base::service_name, relay_service> services;
    client_limits limits;
    /// Accounts by the SHA-256 of their keys; an account may have several keys.
    std::map<std::string, relay_account, std::less<>> accounts_by_key;
    /// Whether requests need an account's key, unless their route is public.
    bool keys_required = false;
};

} // namespace rattanbay::config

template <> struct rattanbay::base::enum_names<rattanbay::config::repeat_rule> {
    static constexpr std::array<enum_name<config::repeat_rule>, 3> table{{
        {config::repeat_rule::at_most_once, "at_most_once"},
        {config::repeat_rule::idempotent, "idempotent"},
        {config::repeat_rule::resumable, "resumable"},
    }};
};
