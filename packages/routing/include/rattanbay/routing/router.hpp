#pragma once

#include <rattanbay/base/identifier.hpp>
#include <rattanbay/base/random_source.hpp>
#include <rattanbay/base/snapshot.hpp>
#include <rattanbay/base/time.hpp>
#include <rattanbay/pipeline/action.hpp>
#include <rattanbay/pipeline/execution.hpp>
#include <rattanbay/routing/endpoint_table.hpp>
#include <rattanbay/routing/load_report.hpp>
#include <rattanbay/routing/route.hpp>

#include <cstddef>
#include <memory>
#include <optional>

namespace rattanbay::routing {

namespace internal {
struct routing_view;
} // namespace internal

/// Selects the endpoint of each call by estimated latency and cost. `publish` must not be called
/// concurrently with itself; all other member functions are thread-safe if each thread passes its own
/// random source. Events of endpoints that are not in the table have no effect on selection.
class router {
public:
    /// `local_domain` is the failure domain of this VM.
    explicit router(base::failure_domain local_domain);
    ~router();
    router(const router&) = delete;
    router& operator=(const router&) = delete;

    /// Replaces the table. Measurements of endpoints that remain listed are kept; an endpoint whose
    /// address or failure domain changed starts without measurements.
    void publish(const endpoint_table& table);

    /// Selects an endpoint; returns no route if no endpoint of the service may receive the call. The
    /// caller reports the sending of the call with `attempt_started`.
    std::optional<route> choose(const route_request& request, base::time_point now,
                                base::random_source& random);

    /// Records that a call was sent to the endpoint.
    void attempt_started(const base::endpoint_id& endpoint);

    /// Records the end of a call that was sent to the endpoint. `latency` is used only if it succeeded.
    void attempt_ended(const base::endpoint_id& endpoint, pipeline::attempt_result result,
                       base::duration latency, base::time_point now);

    /// Records the load that the endpoint reported.
    void load_reported(const base::endpoint_id& endpoint, const load_report& report, base::time_point now);

    /// Records that the endpoint announced that it is leaving (X-Endpoint-State). It is not selected
    /// until the VM list marks it as leaving or omits it and then lists it as live again, until its
    /// address or failure domain changes, or until `endpoint_live` is called.
    void endpoint_leaving(const base::endpoint_id& endpoint);

    /// Records that the endpoint announced that it is live, which reverts `endpoint_leaving`. It is
    /// still not selected while the VM list marks it as leaving.
    void endpoint_live(const base::endpoint_id& endpoint);

    /// Latency percentiles of recent successful calls of the service. Until enough calls are recorded,
    /// p50, p90 and p95 are one, two and three times the expected time in the document.
    pipeline::service_times latency_percentiles(const base::service_name& service) const;

    /// Number of endpoints of the service that are ejected because of failures other than refused
    /// connections.
    std::size_t ejected_count(const base::service_name& service) const;

private:
    base::snapshot<internal::routing_view> view_;
};

} // namespace rattanbay::routing
