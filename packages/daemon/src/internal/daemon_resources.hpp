#pragma once

#include <rattanbay/config/settings.hpp>
#include <rattanbay/http/descriptor_budget.hpp>
#include <rattanbay/http/memory_budget.hpp>
#include <rattanbay/http/response_memory.hpp>

#include <atomic>
#include <cstdint>

namespace rattanbay::daemon::internal {

/// Budgets of a daemon for what it holds for clients, endpoints, other daemons and the store. They must
/// outlive the I/O context, whose pending operations hold parts of them.
struct daemon_resources {
    explicit daemon_resources(const config::settings& settings);

    http::memory_budget memory;
    http::descriptor_budget descriptors;
    /// Memory of the responses of endpoints; a part of `memory`.
    http::response_memory responses;
    /// Requests and connections that were rejected for want of memory or descriptors.
    std::atomic<std::uint64_t> rejections{0};
    /// Idle connections that were closed early, for want of descriptors.
    std::atomic<std::uint64_t> closed_idle{0};
};

} // namespace rattanbay::daemon::internal
