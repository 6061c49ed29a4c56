#pragma once

#include <rattanbay/base/time.hpp>

#include <internal/call_times.hpp>
#include <internal/endpoint_state.hpp>

#include <cstddef>
#include <mutex>

namespace rattanbay::routing::internal {

/// Measurements of one service and the ejection of its endpoints. An endpoint is ejected when its failure
/// rate is too high or it refuses a connection, and reinstated after a successful probe. At most half of the
/// endpoints may be ejected because of failures; refused connections are not limited. An endpoint whose probe
/// fails is reinstated if the limit does not allow its ejection.
///
/// The mutex is held for a few assignments only, and not taken for successes and cancellations of endpoints
/// that are not ejected.
class service_state {
public:
    /// Latencies of calls as measured by this VM.
    call_times latencies;
    /// Latencies without the extra latency of the failure domain of the endpoint.
    call_times processing_times;

    /// Sets the number of endpoints from which the limit on ejections is derived.
    void set_endpoint_count(std::size_t count);

    /// Records a failed call; `refused` if the endpoint did not accept the connection.
    void record_failure(endpoint_state& endpoint, bool refused, base::time_point now);

    /// Records a successful call.
    void record_success(endpoint_state& endpoint, base::time_point now);

    /// Records a cancelled call. It does not change the failure rate; if it was a probe, the next probe is
    /// due.
    void record_cancellation(endpoint_state& endpoint, base::time_point now);

    /// Resets an endpoint that was removed from the service or replaced.
    void reset_endpoint(endpoint_state& endpoint);

    /// Number of ejected endpoints that count towards the limit.
    std::size_t ejected_count() const;

private:
    void eject(endpoint_state& endpoint, bool refused, base::time_point now);
    void reinstate(endpoint_state& endpoint, base::time_point now);

    mutable std::mutex ejection_mutex_;
    std::size_t endpoint_count_ = 0;
    std::size_t ejected_count_ = 0;
};

} // namespace rattanbay::routing::internal
