#pragma once

#include <rattanbay/base/enum_names.hpp>
#include <rattanbay/base/identifier.hpp>
#include <rattanbay/base/time.hpp>
#include <rattanbay/config/finding.hpp>
#include <rattanbay/config/relay_document.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rattanbay::config {

/// Highest number of concurrent requests per entry VM that a document can allow.
constexpr std::size_t max_concurrent_requests = 1'000'000;

/// Protocol of a service's endpoints.
enum class service_kind { worker_pool, model_engine, plain_service };

/// A service is a set of replicated endpoints. Their addresses come from the VM list.
struct service {
    base::service_name name;
    service_kind kind = service_kind::worker_pool;
    /// Typical duration of a call; the initial estimate until measurements are available.
    base::duration expected_duration{};
    /// Concurrent calls that one endpoint accepts.
    std::size_t max_concurrency = 1;
    bool reports_load = false;
    /// Whether its endpoints reject orders with a stale fencing token.
    bool checks_fencing = false;
};

/// One stage of a pipeline.
struct stage {
    std::string name;
    base::service_name service;
    /// Whether its call may be retried.
    bool idempotent = true;
};

/// A sequence of stages; the output of each stage is the input of the next one.
struct pipeline {
    base::pipeline_name name;
    /// Default deadline of a request and the upper bound for deadlines set by callers.
    base::duration deadline{};
    std::vector<stage> stages;

    /// Whether every stage is idempotent.
    bool idempotent() const;
};

/// A client account and its limits across all entry VMs.
struct account {
    base::account_id name;
    /// SHA-256 of the account's bearer token, 64 lower-case hexadecimal digits.
    std::string token_sha256;
    double requests_per_second = 0;
    /// Capacity of the token bucket: requests accepted at once after an idle period.
    double burst = 0;
    /// Concurrent requests.
    std::size_t max_concurrency = 0;
    /// Forwarded to engines that support priorities; higher values are served first.
    int priority = 0;
};

/// Configuration of an environment. Trial and production use the same bytes.
struct environment_document {
    /// Set in the file; strictly increasing with each published document.
    std::uint64_t revision = 0;
    /// SHA-256 of `text`.
    std::string sha256;
    /// Unmodified content of the file.
    std::string text;
    /// Weight of cost relative to attainment, from 0 (attainment only) to 1.
    double cost_weight = 0;
    /// Concurrent requests per entry VM.
    std::size_t max_concurrent_requests = 0;
    std::map<base::service_name, service> services;
    std::map<base::pipeline_name, pipeline> pipelines;
    std::map<base::account_id, account> accounts;
    /// Index of the accounts by `token_sha256`. Each request looks up its account, and a linear search
    /// through thousands of accounts would be too slow.
    std::map<std::string, base::account_id, std::less<>> account_ids_by_token;
    /// Configuration of relayed requests. A document has either this section or pipelines, services and
    /// accounts.
    std::optional<relay_document> relay;

    /// Parses and validates the text of a document (JSON with comments). Its size is not limited: what a
    /// platform holds has to be readable, whatever its form.
    static validation_result<environment_document> parse(std::string text);

    /// Like `parse`, for a text that will be published: it must also fit into one platform object.
    static validation_result<environment_document> parse_for_publication(std::string text);

    /// Returns the account whose token has this SHA-256, or null. Requires that `account_ids_by_token` covers
    /// all `accounts`.
    const account* find_account_by_token(std::string_view token_sha256) const;
};

} // namespace rattanbay::config

template <> struct rattanbay::base::enum_names<rattanbay::config::service_kind> {
    static constexpr std::array<enum_name<config::service_kind>, 3> table{{
        {config::service_kind::worker_pool, "worker_pool"},
        {config::service_kind::model_engine, "model_engine"},
        {config::service_kind::plain_service, "plain_service"},
    }};
};
