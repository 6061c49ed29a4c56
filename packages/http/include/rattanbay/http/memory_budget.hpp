#pragma once

#include <rattanbay/base/enum_names.hpp>
#include <rattanbay/base/shared_budget.hpp>

#include <array>
#include <cstddef>
#include <memory>
#include <utility>

namespace rattanbay::http {

/// What a process holds memory for.
enum class memory_use {
    /// State and buffers of open connections.
    connections,
    /// Bodies of requests, from the time when their size is known until they need not be sent (again).
    requests,
    /// Responses, until their clients have taken them.
    responses,
    /// Messages of other daemons and replies to them.
    peers,
};

} // namespace rattanbay::http

template <> struct rattanbay::base::enum_names<rattanbay::http::memory_use> {
    static constexpr std::array<enum_name<rattanbay::http::memory_use>, 4> table{{
        {rattanbay::http::memory_use::connections, "connections"},
        {rattanbay::http::memory_use::requests, "requests"},
        {rattanbay::http::memory_use::responses, "responses"},
        {rattanbay::http::memory_use::peers, "peers"},
    }};
};

namespace rattanbay::http {

/// Memory that a process may hold for clients, endpoints and other daemons, in bytes.
using memory_budget = base::shared_budget<memory_use>;

/// The part of a memory budget that one object takes; given back at the end of this object, which must not
/// outlive the budget.
class memory_share {
public:
    memory_share(memory_budget& budget, memory_use use)
        : budget_(&budget)
        , use_(use) {}

    memory_share(const memory_share&) = delete;
    memory_share& operator=(const memory_share&) = delete;

    ~memory_share() { budget_->give_back(use_, bytes_); }

    std::size_t bytes() const { return bytes_; }

    /// Sets the size. Returns false, and keeps the former size, if the budget has no room.
    bool try_resize(std::size_t bytes) {
        if (bytes > bytes_ && !budget_->try_take(use_, bytes - bytes_)) {
            return false;
        }
        give_back_above(bytes);
        bytes_ = bytes;
        return true;
    }

    /// Sets the size, also beyond the budget, for what cannot be refused.
    void resize(std::size_t bytes) {
        if (bytes > bytes_) {
            budget_->take(use_, bytes - bytes_);
        }
        give_back_above(bytes);
        bytes_ = bytes;
    }

private:
    void give_back_above(std::size_t bytes) {
        if (bytes < bytes_) {
            budget_->give_back(use_, bytes_ - bytes);
        }
    }

    memory_budget* budget_;
    memory_use use_;
    std::size_t bytes_ = 0;
};

} // namespace rattanbay::http
