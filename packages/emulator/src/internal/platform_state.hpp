#pragma once

#include "change_signal.hpp"

#include <rattanbay/emulator/lagged_vm_list.hpp>
#include <rattanbay/emulator/object_store.hpp>
#include <rattanbay/emulator/platform_service.hpp>
#include <rattanbay/http/server.hpp>

#include <atomic>
#include <functional>
#include <mutex>
#include <optional>

namespace rattanbay::emulator::internal {

/// State of the emulated platform and its HTTP handler, shared by all connections.
class platform_state : public std::enable_shared_from_this<platform_state> {
public:
    explicit platform_state(const platform_options& options)
        : options_(options)
        , store_(options.history_retention)
        , vms_(options.vm_list_lag) {}

    /// Handles one request.
    asio::awaitable<void> handle(const http::request& message, http::responder& out);

    /// Sets the VM list and returns its version.
    std::uint64_t set_vms(std::vector<object_api::vm> vms);

    void set_fault(platform_fault fault);

    std::map<std::string, std::uint64_t> calls() const;

    /// Ends all pending watches.
    void stop();

private:
    /// Reads the state as of a point in time; `std::nullopt` if a watch must keep waiting.
    using state_query = std::function<std::optional<object_api::answer>(base::time_point)>;

    bool handle_control(const http::request& message, http::response& answer);
    asio::awaitable<http::response> handle_objects(const http::request& message);
    asio::awaitable<http::response> handle_watch(const http::request& message);
    asio::awaitable<http::response> handle_vms(const http::request& message);
    asio::awaitable<http::response> watch(state_query query, base::duration timeout);
    http::response read_or_list(const object_api::object_key& key);
    http::response write(const http::request& message, const object_api::object_key& key);
    http::response remove(const http::request& message, const object_api::object_key& key);
    void count_call(const char* kind);
    platform_fault fault() const;
    /// Time of the state that reads return; in the past with the fault `stale`.
    base::time_point read_time() const;

    const platform_options options_;
    mutable std::mutex mutex_;
    object_store store_;
    lagged_vm_list vms_;
    platform_fault fault_;
    std::map<std::string, std::uint64_t> calls_;
    change_signal changed_;
    std::atomic<bool> stopped_{false};
};

} // namespace rattanbay::emulator::internal
