#include <rattanbay/membership/dissemination_square.hpp>

#include <algorithm>
#include <cmath>
#include <cstddef>

namespace rattanbay::membership {

dissemination_square find_square(const std::vector<peer::member_record>& members, const base::address& own) {
    std::vector<base::address> all{own};
    for (const peer::member_record& member : members) {
        if (member.status != peer::member_status::gone && member.peer_address != own) {
            all.push_back(member.peer_address);
        }
    }
    std::ranges::sort(all);
    const auto position = static_cast<std::size_t>(std::ranges::find(all, own) - all.begin());
    const auto side = static_cast<std::size_t>(std::ceil(std::sqrt(static_cast<double>(all.size()))));
    // The last row may lack columns; the row before it stands in for them.
    const std::size_t last_row = (all.size() - 1) / side * side;
    const std::size_t last_row_size = all.size() - last_row;
    dissemination_square out;
    for (std::size_t n = 0; n < all.size(); ++n) {
        const bool stands_in = position >= last_row && n < last_row && n + side >= last_row + last_row_size;
        if (n != position && (n / side == position / side || stands_in)) {
            out.row.push_back(all[n]);
        } else if (n != position && n % side == position % side) {
            out.column.push_back(all[n]);
        }
    }
    return out;
}

} // namespace rattanbay::membership
