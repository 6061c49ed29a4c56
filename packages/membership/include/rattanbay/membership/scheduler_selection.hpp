#pragma once

#include <rattanbay/base/identifier.hpp>
#include <rattanbay/peer/member_record.hpp>

#include <cstddef>
#include <vector>

namespace rattanbay::membership {

/// Selects at most `max_count` daemons for a role whose load does not grow with the fleet, regardless of
/// their processors. `service` names the role. Daemons with the same set of members get the same order. A
/// daemon restarted at the same address keeps its position.
std::vector<peer::member_record> select_schedulers(const std::vector<peer::member_record>& members,
                                                   const base::service_name& service, std::size_t max_count);

} // namespace rattanbay::membership
