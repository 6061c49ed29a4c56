#pragma once

#include <rattanbay/base/random_source.hpp>
#include <rattanbay/peer/member_record.hpp>

#include <cstddef>
#include <vector>

namespace rattanbay::membership {

/// Most entry addresses given to a caller.
constexpr std::size_t max_entries = 4;

/// Chooses the daemons that a caller is told to use, best first: live ones that do not drain and
/// have a document, at random with a preference for those with fewer requests in progress, so
/// that callers spread although each keeps its answer for a while. Daemons whose document is
/// older than the newest come last.
std::vector<peer::member_record> select_entries(const std::vector<peer::member_record>& members,
                                                base::random_source& random);

/// Most entry addresses given to a caller that spreads its connections over all of them.
constexpr std::size_t max_spread_entries = 64;

/// Chooses the daemons that a caller in `near` spreads its connections over: those of its failure
/// domain when there are at least two, so that one can be lost, else all.
std::vector<peer::member_record> select_near_entries(const std::vector<peer::member_record>& members,
                                                     const base::failure_domain& near,
                                                     base::random_source& random);

} // namespace rattanbay::membership
