#pragma once

#include <rattanbay/base/address.hpp>
#include <rattanbay/base/identifier.hpp>
#include <rattanbay/config/relay_document.hpp>
#include <rattanbay/membership/pool_shard.hpp>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace rattanbay::membership {

/// Processor time that a scheduler needs for one piece, in microseconds: its share of the messages of the
/// stage, the call and the release. Measured at 34 to 40 us of an ordinary core on a site of 72 VMs.
constexpr std::uint64_t scheduling_time_per_piece_us = 40;

/// Part of a daemon's processor that the plan of one pool assigns to scheduling, as 1 / value. The rest is
/// for the requests of the daemon's own clients and for its shards of other pools.
constexpr std::uint64_t scheduling_budget_divisor = 4;

/// Capacity assumed of a daemon whose record does not tell it, in hundredths of a core: such daemons are of
/// an earlier version, and a small value keeps work from VMs that may be small.
constexpr std::uint32_t default_processor_percent = 10;

/// Number of daemons to ask when the scheduler of a shard cannot be reached.
constexpr std::size_t max_scheduler_fallbacks = 2;

/// Division of a worker pool among the daemons that schedule it. Each endpoint belongs to one shard.
struct pool_plan {
    /// Empty if no daemon can schedule the pool.
    std::vector<pool_shard> shards;
    /// Index of the shard to which the endpoint at an address belongs.
    std::map<base::address, std::size_t> shard_by_address;

    /// Shard that the daemon schedules, or null if it schedules none.
    const pool_shard* find(const base::incarnation& scheduler) const;
};

/// Plans which daemons schedule a worker pool. Daemons with the same members, document and endpoints get the
/// same plan, on all processor types.
///
/// The members are ranked by rendezvous hashing weighted by the cube of their capacity, so that VMs with more
/// processor are preferred. Down the ranking, each one takes as many endpoints as its part of the processor
/// for scheduling allows; if all together cannot take the pool, the rest is divided in proportion to the
/// capacities. The loss of a daemon reassigns only what it scheduled, apart from single endpoints, and a
/// daemon restarted at the same address keeps its position. A pool without endpoints has one shard, so that
/// stages of all daemons wait for endpoints at the same place.
pool_plan plan_pool(const std::vector<peer::member_record>& members, const base::service_name& service,
                    const config::piece_limits& limits, const std::vector<relay::pool_endpoint>& endpoints);

/// Selects the shard for a stage, or null if there is none. `key` spreads the stages over the shards in
/// proportion to their endpoints. Shards with an endpoint in the preferred failure domain are preferred; an
/// empty domain is no preference.
const pool_shard* select_shard(const pool_plan& plan, std::string_view key,
                               const base::failure_domain& preferred_domain);

} // namespace rattanbay::membership
