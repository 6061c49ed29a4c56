#pragma once

#include <rattanbay/base/time.hpp>

#include <cstddef>

namespace rattanbay::routing {

/// Load that an endpoint reports.
struct load_report {
    /// Calls in progress, without those in the queue.
    std::size_t running = 0;
    /// Calls in the queue of the endpoint.
    std::size_t waiting = 0;
    /// Time since the endpoint took these counts.
    base::duration age{};
};

} // namespace rattanbay::routing
