#pragma once

#include <rattanbay/base/identifier.hpp>
#include <rattanbay/peer/member_record.hpp>

#include <cstddef>
#include <vector>

namespace rattanbay::membership {

/// The daemons that may schedule the worker pool of a service, the one that does first; those behind it
/// take its place when it cannot be reached. All daemons that know the same members get the same
/// order. A daemon that was restarted at its address has the place of the one before it. At most
/// `most` are returned.
std::vector<peer::member_record> select_schedulers(const std::vector<peer::member_record>& members,
                                                   const base::service_name& service, std::size_t most);

} // namespace rattanbay::membership
