#include <rattanbay/emulator/lagged_vm_list.hpp>

namespace rattanbay::emulator {

void lagged_vm_list::set(object_api::vm_list list, base::time_point now) {
    const base::time_point from = entries_.empty() ? base::time_point::min() : now + lag_;
    entries_.push_back(entry{from, std::move(list)});
    if (entries_.size() > max_entries) {
        entries_.pop_front();
    }
}

object_api::vm_list lagged_vm_list::visible(base::time_point at) const {
    for (auto it = entries_.rbegin(); it != entries_.rend(); ++it) {
        if (it->from <= at) {
            return it->list;
        }
    }
    return {};
}

std::optional<base::time_point> lagged_vm_list::next_change(base::time_point at) const {
    for (const entry& row : entries_) {
        if (row.from > at) {
            return row.from;
        }
    }
    return std::nullopt;
}

} // namespace rattanbay::emulator
