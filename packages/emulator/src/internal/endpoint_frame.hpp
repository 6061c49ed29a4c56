#pragma once

#include "change_signal.hpp"

#include <rattanbay/base/error.hpp>
#include <rattanbay/emulator/endpoint_service.hpp>
#include <rattanbay/emulator/fault_injector.hpp>
#include <rattanbay/emulator/load_history.hpp>
#include <rattanbay/emulator/slot_queue.hpp>
#include <rattanbay/http/server.hpp>

#include <boost/asio/awaitable.hpp>

#include <atomic>
#include <memory>
#include <mutex>
#include <optional>

namespace rattanbay::emulator::internal {

class faulty_responder;

/// Base class of emulated endpoints: faults, slots, load reports and shutdown. Derived classes
/// implement the calls.
class endpoint_server : public std::enable_shared_from_this<endpoint_server> {
public:
    explicit endpoint_server(const endpoint_options& options);
    virtual ~endpoint_server() = default;

    /// Starts listening. The HTTP server keeps this object alive. Errors: `unavailable`.
    base::result<void> listen(boost::asio::io_context& context);

    void stop();
    void kill();
    void set_fault(endpoint_fault fault);
    void set_leaving(bool leaving);

    const base::address& address() const { return options_.address; }

    bool killed() const { return killed_; }

    bool leaving() const { return leaving_; }

    /// Whether the fault `silent` applies to a connection.
    bool is_silent(std::uint64_t connection) const;

    /// Leaves a call unanswered until the endpoint stops, then closes its connection.
    boost::asio::awaitable<void> hold_open(http::responder& out);

protected:
    /// Answers a control call, which is exempt from faults; `std::nullopt` for any other call.
    virtual std::optional<http::response> handle_control(const http::request& message);

    /// Executes a call.
    virtual boost::asio::awaitable<void> handle_call(const http::request& message, faulty_responder& out) = 0;

    /// Adds a call to the slot queue.
    slot_queue::ticket enqueue_call(int priority);

    /// Waits until a call has a slot, at most for `timeout`. Returns whether it has one.
    boost::asio::awaitable<bool> wait_for_slot(slot_queue::ticket call, base::duration timeout);

    /// Removes a call from its slot or from the queue.
    void release_slot(slot_queue::ticket call);

    /// Number of calls that have a slot.
    std::size_t running_calls() const;

    const endpoint_options& options() const { return options_; }

private:
    boost::asio::awaitable<void> handle(const http::request& message, http::responder& out);
    std::optional<http::response> handle_common(const http::request& message);
    http::response handle_set_fault(const http::request& message);
    http::response handle_set_leaving(const http::request& message);
    http::response handle_load() const;
    void record_load();

    const endpoint_options options_;
    mutable std::mutex mutex_;
    fault_injector faults_;
    slot_queue slots_;
    load_history load_;
    change_signal slots_changed_;
    std::weak_ptr<http::server> server_;
    std::atomic<bool> stopped_{false};
    std::atomic<bool> killed_{false};
    std::atomic<bool> leaving_{false};
};

/// Calls a function at the end of a scope.
template <class Function> class scope_exit {
public:
    explicit scope_exit(Function function)
        : function_(std::move(function)) {}

    scope_exit(const scope_exit&) = delete;
    scope_exit& operator=(const scope_exit&) = delete;

    ~scope_exit() { function_(); }

private:
    Function function_;
};

} // namespace rattanbay::emulator::internal
