#pragma once

#include <rattanbay/base/identifier.hpp>
#include <rattanbay/base/time.hpp>
#include <rattanbay/config/relay_document.hpp>

#include <cstddef>
#include <map>
#include <vector>

namespace rattanbay::relay {

/// Time that a stage takes, and the longest chain of stages that follow it.
struct stage_time {
    base::duration own{};
    base::duration rest{};

    base::duration whole() const { return own + rest; }
};

/// What is known of a stage's time before it begins.
struct stage_estimate {
    /// With endpoints that are free.
    stage_time least;
    /// While the endpoints are busy: calls are full, and an endpoint has to end another one first. What
    /// begins in time by this estimate is in time also under load.
    stage_time busy;
};

/// Whether `other` needs the results of `stage`.
bool is_needed_by(const std::vector<config::relay_stage>& stages, std::size_t stage, std::size_t other);

/// Estimates for each stage of a request with this many pieces of each; stages without pieces and
/// stages of services that are not in the document take no time.
std::vector<stage_estimate>
estimate_stage_times(const std::vector<config::relay_stage>& stages, const std::vector<std::size_t>& pieces,
                     const std::map<base::service_name, config::relay_service>& services);

} // namespace rattanbay::relay
