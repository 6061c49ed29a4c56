#pragma once

#include <rattanbay/peer/member_record.hpp>
#include <rattanbay/relay/piece_scheduler.hpp>

#include <cstdint>
#include <vector>

namespace rattanbay::membership {

/// Endpoints of a worker pool that one daemon schedules.
struct pool_shard {
    peer::member_record scheduler;
    std::vector<relay::pool_endpoint> endpoints;
    /// Processor time that scheduling takes at the endpoints' full throughput, in microseconds per second.
    std::uint64_t load = 0;
    /// Daemons to ask in this order when the scheduler cannot be reached.
    std::vector<peer::member_record> fallbacks;
};

} // namespace rattanbay::membership
