#include <rattanbay/emulator/order_log.hpp>

#include <algorithm>

namespace rattanbay::emulator {

base::result<void> order_log::add(accepted_order order) {
    if (checks_fencing_ && order.fence < highest_fence_) {
        return base::fail(base::error_code::conflict, "fencing token " + std::to_string(order.fence) +
                                                          " is below " + std::to_string(highest_fence_));
    }
    highest_fence_ = std::max(highest_fence_, order.fence);
    if (orders_.size() == max_orders) {
        orders_.erase(orders_.begin());
    }
    orders_.push_back(std::move(order));
    return {};
}

} // namespace rattanbay::emulator
