#pragma once

#include <rattanbay/base/address.hpp>
#include <rattanbay/base/identifier.hpp>
#include <rattanbay/base/time.hpp>
#include <rattanbay/pipeline/action.hpp>

#include <cstdint>
#include <optional>
#include <vector>

namespace rattanbay::routing {

/// Request for an endpoint of a service.
struct route_request {
    base::service_name service;
    /// Endpoints already tried for this stage. A retry may be routed to one of them if the service has
    /// no other endpoint; a hedge may not.
    std::vector<base::endpoint_id> excluded;
    pipeline::attempt_purpose purpose = pipeline::attempt_purpose::first;
    /// Time that remains for the call of the stage.
    base::duration time_left{};
    /// Hash of the prompt's prefix. Calls with equal hashes prefer the same replica.
    std::optional<std::uint64_t> affinity = std::nullopt;
    /// Whether the call may be retried after a failure. Only such calls probe an ejected endpoint.
    bool retryable = true;
};

/// Endpoint selected for a call.
struct route {
    base::endpoint_id endpoint;
    base::address address;
    base::failure_domain failure_domain;
    /// Estimated latency of the call, including the network round trip.
    base::duration estimated_latency{};
    /// Whether the endpoint is outside the failure domain of this VM.
    bool crosses_domain = false;
};

} // namespace rattanbay::routing
