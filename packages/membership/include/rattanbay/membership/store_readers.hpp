#pragma once

#include <rattanbay/base/incarnation.hpp>
#include <rattanbay/peer/member_record.hpp>

#include <cstddef>
#include <vector>

namespace rattanbay::membership {

/// Number of daemons in each failure domain that read the platform's store without delay. Each of them tells
/// the other daemons of its domain, so that one lost datagram or one daemon that stands still delays nobody.
constexpr std::size_t store_readers_per_domain = 3;

/// Whether this daemon reads the platform's store without delay, so that the others of its failure domain can
/// make do with calls that may be answered from an old state. Each daemon decides by its own view of the
/// members; when views differ, more or fewer daemons read for a while. A daemon that takes no requests yet
/// reads for itself.
bool is_store_reader(const std::vector<peer::member_record>& members, const base::incarnation& self);

/// The other daemons of this daemon's failure domain that are not known to be gone.
std::vector<base::address> domain_neighbours(const std::vector<peer::member_record>& members,
                                             const base::incarnation& self);

} // namespace rattanbay::membership
