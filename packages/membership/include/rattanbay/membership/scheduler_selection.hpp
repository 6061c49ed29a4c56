#pragma once

#include <rattanbay/base/identifier.hpp>
#include <rattanbay/peer/member_record.hpp>

#include <cstddef>
#include <vector>

namespace rattanbay::membership {

/// Selects at most `max_count` daemons for scheduling the worker pool of a service. The first one schedules
/// the pool, the others are its fallbacks in order. Daemons with the same set of members get the same order.
/// A daemon restarted at the same address keeps its position.
std::vector<peer::member_record> select_schedulers(const std::vector<peer::member_record>& members,
                                                   const base::service_name& service, std::size_t max_count);

} // namespace rattanbay::membership
