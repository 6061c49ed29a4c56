#pragma once

#include <rattanbay/base/error.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace rattanbay::emulator {

/// Order accepted by a model engine.
struct accepted_order {
    std::uint64_t fence = 0;
    std::string action;
    /// Complete order as JSON text.
    std::string text;
};

/// Log of orders accepted by a model engine, with optional check of their fencing tokens.
class order_log {
public:
    /// With `checks_fencing`, orders with a token below the highest accepted one are rejected.
    explicit order_log(bool checks_fencing)
        : checks_fencing_(checks_fencing) {}

    /// Adds an order. Errors: `conflict` if tokens are checked and its token is stale.
    base::result<void> add(accepted_order order);

    /// Highest token of an accepted order; 0 without orders.
    std::uint64_t highest_fence() const { return highest_fence_; }

    /// The newest `max_orders` accepted orders.
    const std::vector<accepted_order>& orders() const { return orders_; }

    static constexpr std::size_t max_orders = 1000;

private:
    bool checks_fencing_;
    std::uint64_t highest_fence_ = 0;
    std::vector<accepted_order> orders_;
};

} // namespace rattanbay::emulator
