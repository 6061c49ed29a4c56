#pragma once

#include <rattanbay/base/time.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace rattanbay::routing::experiment {

/// Kind of fault injected into endpoints.
enum class fault_kind {
    /// Calls take `slowdown_factor` times as long.
    slow,
    /// Half of the calls of the service fail.
    failing,
    /// Endpoints and entry VMs of a failure domain neither respond nor refuse connections.
    lost_domain,
    /// The endpoint refuses connections during every other second.
    flapping,
};

/// Fault of one endpoint of a service, of a whole service, or of a failure domain.
struct fault {
    fault_kind kind = fault_kind::slow;
    std::string service;
    /// Index of the replica or of the failure domain.
    std::size_t index = 0;
};

/// Faults and load of a run. Faults and the burst last from `disturbance_start` to `disturbance_end`.
struct scenario {
    std::string name;
    std::vector<fault> faults;
    /// Factor on the arrival rate of the large account during the disturbance.
    double burst_factor = 1;
};

constexpr base::duration run_length = std::chrono::seconds(30);
constexpr base::duration disturbance_start = std::chrono::seconds(8);
constexpr base::duration disturbance_end = std::chrono::seconds(18);
constexpr double slowdown_factor = 5;

/// Returns all scenarios of the experiment.
std::vector<scenario> all_scenarios();

} // namespace rattanbay::routing::experiment
