#pragma once

#include <rattanbay/base/address.hpp>
#include <rattanbay/peer/member_record.hpp>

#include <vector>

namespace rattanbay::membership {

/// Neighbours of one daemon in the square that the members fill in the order of their addresses. What a
/// daemon tells its row, and each member of the row its column, is known to all.
struct dissemination_square {
    std::vector<base::address> row;
    std::vector<base::address> column;
};

/// Neighbours of the member at this address, which counts as a member in any case. Members that are gone are
/// left out.
dissemination_square find_square(const std::vector<peer::member_record>& members, const base::address& own);

} // namespace rattanbay::membership
