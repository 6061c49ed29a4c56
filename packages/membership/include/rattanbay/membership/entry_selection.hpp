#pragma once

#include <rattanbay/base/random_source.hpp>
#include <rattanbay/peer/member_record.hpp>

#include <cstddef>
#include <vector>

namespace rattanbay::membership {

/// Maximum number of entry addresses given to a caller.
constexpr std::size_t max_entries = 4;

/// Selects the entry daemons for a caller, best first. Eligible daemons are live, not draining, and have a
/// document. The order is random, weighted towards daemons with fewer requests in progress, so that callers
/// are spread although each caches the result for a while. Daemons with an outdated document come last.
std::vector<peer::member_record> select_entries(const std::vector<peer::member_record>& members,
                                                base::random_source& random);

/// Maximum number of entry addresses given to a caller that distributes its connections over all of them.
constexpr std::size_t max_spread_entries = 64;

/// Selects the daemons over which a caller in `domain` distributes its connections: those of its failure
/// domain if there are at least two, so that the loss of one is tolerated, otherwise all.
std::vector<peer::member_record> select_entries_near(const std::vector<peer::member_record>& members,
                                                     const base::failure_domain& domain,
                                                     base::random_source& random);

} // namespace rattanbay::membership
