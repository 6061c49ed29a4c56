#pragma once

#include <rattanbay/base/random_source.hpp>
#include <rattanbay/base/time.hpp>
#include <rattanbay/routing/route.hpp>

#include <internal/view.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace rattanbay::routing::internal {

/// Estimate of a call to an endpoint.
struct call_estimate {
    /// Latency, including the network.
    double latency_us = 0;
    /// Latency plus the cost of crossing a failure domain; the endpoint with the lowest score is selected.
    double score_us = 0;
};

/// Selects the endpoint of one call among a random sample of the endpoints of its service.
class selection {
public:
    selection(const routing_view& view, const service_entry& service, const route_request& request,
              base::time_point now, base::random_source& random);

    /// Returns the route to the selected endpoint, or nothing if no endpoint may receive the call.
    std::optional<route> choose();

private:
    enum class eligibility { available, probe_due, ejected, unavailable };

    eligibility eligibility_of(const endpoint_entry& candidate) const;
    bool is_excluded(const endpoint_entry& candidate) const;

    /// Adds up to `count` available endpoints of `group`, sampled at random, to the candidates.
    void sample(const std::vector<endpoint_entry>& group, std::size_t count);

    /// Samples without replacement, for small groups.
    void sample_without_replacement(const std::vector<endpoint_entry>& group, std::size_t count);

    /// Samples with replacement; scans the group from a random position if that finds no candidate.
    void sample_with_replacement(const std::vector<endpoint_entry>& group, std::size_t count);

    /// Adds the endpoint to the candidates if it is available and not yet among them. Stores it in
    /// `due_probe_` if it is due for a probe and the request may be used as one.
    void consider(const endpoint_entry& candidate);

    /// Returns the candidate with the lowest score.
    const endpoint_entry* best_candidate() const;

    /// Returns the replica that rendezvous hashing assigns to the affinity hash of the request, or null if it
    /// is not available. Remote replicas take part only if there is no local one.
    const endpoint_entry* preferred_replica() const;

    /// Returns the endpoint whose ejection ends first, or null. Leaving endpoints are skipped; one that is
    /// not ejected comes first.
    const endpoint_entry* earliest_ejection_end(bool include_excluded) const;

    call_estimate estimate(const endpoint_entry& candidate) const;
    route make_route(const endpoint_entry& selected) const;

    const routing_view& view_;
    const service_entry& service_;
    const route_request& request_;
    base::time_point now_;
    base::random_source& random_;
    double typical_processing_time_us_;
    const endpoint_entry* due_probe_ = nullptr;
    static constexpr std::size_t max_candidates = 4;
    std::array<const endpoint_entry*, max_candidates> candidates_{};
    std::size_t candidate_count_ = 0;
};

} // namespace rattanbay::routing::internal
