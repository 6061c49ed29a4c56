#pragma once

#include <rattanbay/base/identifier.hpp>
#include <rattanbay/routing/endpoint_table.hpp>

#include <internal/endpoint_state.hpp>
#include <internal/service_state.hpp>

#include <atomic>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace rattanbay::routing::internal {

/// Extra latency assumed for a failure domain until it is measured.
constexpr std::int64_t default_extra_latency_us = 4000;

/// Failure domain as seen from this VM.
struct domain_state {
    /// Additional latency of a call to this failure domain compared with a call within the local one.
    std::atomic<std::int64_t> extra_latency_us{default_extra_latency_us};
};

/// Tracks the minimum latency of the calls of one service to one failure domain.
struct min_latency_tracker {
    std::atomic<std::int64_t> min_us{std::numeric_limits<std::int64_t>::max()};
    std::atomic<std::uint32_t> sample_count{0};

    /// Whether there are enough samples for the minimum to approximate the lowest possible latency.
    bool measured() const;

    /// Adds a sample. Returns whether the minimum decreased while measured or has just become measured.
    bool record(base::duration latency);
};

/// Endpoint in a routing view. Its states are shared with later views.
struct endpoint_entry {
    endpoint info;
    /// Hash of the identifier, used for rendezvous hashing.
    std::uint64_t id_hash = 0;
    bool crosses_domain = false;
    std::shared_ptr<endpoint_state> state;
    std::shared_ptr<domain_state> domain;
    std::shared_ptr<min_latency_tracker> min_latency;
};

/// Service in a routing view.
struct service_entry {
    config::service settings;
    std::shared_ptr<service_state> state;
    /// Endpoints in the failure domain of this VM.
    std::vector<endpoint_entry> local;
    /// Endpoints in other failure domains.
    std::vector<endpoint_entry> remote;
    std::map<base::failure_domain, std::shared_ptr<min_latency_tracker>> min_latencies;

    /// Median time of a call without the extra latency of its failure domain, in microseconds. Until it is
    /// measured, the expected time of the settings.
    double typical_processing_time_us() const;
};

/// Immutable index of an endpoint table with the shared, mutable states of its endpoints.
struct routing_view {
    struct lookup_result {
        const service_entry* service = nullptr;
        const endpoint_entry* endpoint = nullptr;
    };

    /// Failure domain of this VM.
    base::failure_domain local_domain;
    double cost_weight = 0;
    std::unordered_map<base::service_name, service_entry> services;
    std::unordered_map<base::endpoint_id, lookup_result> endpoints;
    std::map<base::failure_domain, std::shared_ptr<domain_state>> domains;
    /// States of endpoints that were removed from the table while calls to them were in progress.
    std::unordered_map<base::endpoint_id, std::shared_ptr<endpoint_state>> retired;

    /// Builds the view of `table` and takes over the states of `previous`. The states of replaced
    /// and removed endpoints are reset.
    static std::shared_ptr<const routing_view> build(const endpoint_table& table,
                                                     const routing_view& previous);

    const service_entry* find(const base::service_name& service) const;

    lookup_result find(const base::endpoint_id& endpoint) const;

    /// Updates the extra latency of all failure domains from the minimum latencies. The extra latency is the
    /// smallest difference that any service shows between the failure domain and the local one.
    void update_extra_latencies() const;
};

} // namespace rattanbay::routing::internal
