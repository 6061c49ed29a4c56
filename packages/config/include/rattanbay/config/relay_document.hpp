#pragma once

#include <rattanbay/base/enum_names.hpp>
#include <rattanbay/base/hash.hpp>
#include <rattanbay/base/identifier.hpp>
#include <rattanbay/base/time.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace rattanbay::config {

/// Whether and how a request without an answer may be retried.
enum class retry_mode {
    /// Never retried once it may have run.
    at_most_once,
    /// May be retried from the start.
    idempotent,
    /// A stream that may be resumed at another endpoint after its last event.
    resumable,
};

/// A preprocessing stage of a relayed request; its results are inputs of the request.
struct relay_stage {
    base::service_name service;
    /// Indexes of the stages whose results this one requires.
    std::vector<std::size_t> depends_on;
    /// Typical size of one result.
    std::uint64_t result_bytes = 0;
};

/// A target service of a route and its weight in the traffic split.
struct relay_target {
    base::service_name service;
    double weight = 1;
};

/// Routing rule and limits for requests with one host and path prefix. Requests are forwarded unchanged.
struct relay_route {
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    retry_mode retry = retry_mode::at_most_once;
    /// Whether the answer is an event stream.
    bool streamed = false;
    /// Whether requests need no account key.
    bool is_public = false;
    /// Whether requests that share a prompt prefix should be routed to the same endpoint.
    bool prefix_affinity = false;
    /// Maximum time until a request is answered.
    base::duration timeout{};
    /// Target latency of the whole answer, or of the first event of a stream.
    base::duration latency_objective{};
    /// Maximum gap between two events of a stream that meets the objective.
    base::duration max_event_gap{};
    /// Time after which clients give up a stream that sends no event, also before its first one; 0 if they
    /// wait for as long as their request has.
    base::duration client_patience{};
    /// Lower values are served first.
    int urgency = 0;
    /// Maximum number of endpoints that may run one request, at least 1.
    std::size_t max_attempts = 1;
    std::vector<relay_target> targets;
    std::vector<relay_stage> stages;
    /// Whether the route could be read completely. Requests of an unusable route are rejected as not run; no
    /// other route may take them.
    bool is_usable = true;
};

/// Capacity of one model engine.
struct engine_limits {
    /// Maximum number of requests in one batch.
    std::size_t max_batch_size = 0;
    /// Capacity of the KV cache in tokens.
    std::uint64_t kv_cache_tokens = 0;
};

/// Capacity and cost model of one worker pool endpoint.
struct piece_limits {
    /// Maximum number of concurrent calls.
    std::size_t max_concurrent_calls = 1;
    /// Maximum number of calls queued at the endpoint.
    std::size_t max_queued_calls = 0;
    /// Maximum number of pieces in one call.
    std::size_t max_batch_size = 1;
    /// Fixed time of a call, and additional time of each piece.
    base::duration call_overhead{};
    base::duration time_per_piece{};
    /// Memory for results.
    std::uint64_t result_capacity_bytes = 0;
    /// Time after which an unreleased result is dropped.
    base::duration result_lifetime{};
    /// Bandwidth for fetching results, in megabits per second; 0 if unknown.
    double result_bandwidth_mbps = 0;
};

/// A target service of relayed requests or pieces.
struct relay_service {
    base::service_name name;
    /// Connections that one endpoint accepts in total from all daemons.
    std::size_t max_connections = 0;
    std::optional<engine_limits> engine;
    std::optional<piece_limits> pieces;
    /// Time for which an endpoint is cold after its start, and the requests per second that it tolerates
    /// then. Without a rate, cold endpoints get requests like others.
    base::duration cold_time{};
    double cold_requests_per_second = 0;
};

/// Size limits and read timeouts for client requests.
struct client_limits {
    std::size_t max_header_bytes = 16 * 1024;
    std::size_t max_body_bytes = 4 * 1024 * 1024;
    base::duration header_read_timeout = std::chrono::seconds(10);
    base::duration idle_timeout = std::chrono::seconds(60);
};

/// A client account whose requests are relayed.
struct relay_account {
    base::account_id name;
    /// Overrides the urgency of the route.
    std::optional<int> urgency;
    /// SHA-256 of each of its keys, as lower-case hexadecimal digits.
    std::vector<std::string> key_hashes;
};

/// Hash function for digests, which are hash values already.
struct digest_hash {
    std::size_t operator()(const base::hash128& digest) const { return static_cast<std::size_t>(digest.low); }
};

/// Parts of a document by the digest of the text from which they were read.
template <class Part>
using shared_parts = std::unordered_map<base::hash128, std::shared_ptr<const Part>, digest_hash>;

/// The section of an environment document that configures relayed requests.
struct relay_document {
    std::vector<std::shared_ptr<const relay_route>> routes;
    std::map<base::service_name, relay_service> services;
    client_limits limits;
    /// Accounts by the SHA-256 of a key; an account may have several keys.
    std::map<std::string, std::shared_ptr<const relay_account>, std::less<>> accounts_by_key_hash;
    /// Whether accounts were left out because they could not be read, so that an unknown key may be valid.
    bool has_unusable_accounts = false;
    /// Whether requests on non-public routes need an account key.
    bool keys_required = false;
    /// Parts that the next document takes over if their text is the same. Empty in documents that were read
    /// from the project's own form.
    shared_parts<relay_route> routes_by_digest;
    shared_parts<relay_account> accounts_by_digest;
};

} // namespace rattanbay::config

template <> struct rattanbay::base::enum_names<rattanbay::config::retry_mode> {
    static constexpr std::array<enum_name<config::retry_mode>, 3> table{{
        {config::retry_mode::at_most_once, "at_most_once"},
        {config::retry_mode::idempotent, "idempotent"},
        {config::retry_mode::resumable, "resumable"},
    }};
};
