#pragma once

#include <rattanbay/base/identifier.hpp>
#include <rattanbay/base/time.hpp>
#include <rattanbay/config/relay_document.hpp>

#include <cstddef>
#include <map>
#include <vector>

namespace rattanbay::relay {

/// Duration of a stage, and total duration of the longest chain of stages that depend on it.
struct stage_time {
    base::duration duration{};
    base::duration following{};

    base::duration total() const { return duration + following; }
};

/// Estimates of a stage's time, made before it starts.
struct stage_estimate {
    /// If endpoints are idle.
    stage_time unloaded;
    /// If endpoints are busy: calls are full, and an endpoint first has to finish another call. A stage that
    /// starts in time by this estimate also finishes in time under load.
    stage_time loaded;
};

/// Whether stage `dependent` needs the results of `stage`.
bool is_dependency_of(const std::vector<config::relay_stage>& stages, std::size_t stage,
                      std::size_t dependent);

/// Estimates the times of all stages of a request, where `pieces` is the number of pieces of each stage.
/// Stages without pieces and stages of services that are not in `services` take no time.
std::vector<stage_estimate>
estimate_stage_times(const std::vector<config::relay_stage>& stages, const std::vector<std::size_t>& pieces,
                     const std::map<base::service_name, config::relay_service>& services);

} // namespace rattanbay::relay
