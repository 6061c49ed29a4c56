#pragma once

#include <rattanbay/base/address.hpp>
#include <rattanbay/base/error.hpp>
#include <rattanbay/base/time.hpp>
#include <rattanbay/emulator/platform_fault.hpp>
#include <rattanbay/object_api/vm_list.hpp>

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace rattanbay::emulator {

namespace asio = boost::asio;

/// Options of a `platform_service`.
struct platform_options {
    base::address address;
    /// Propagation delay of a new VM list.
    base::duration vm_list_lag = std::chrono::milliseconds(500);
    /// Latency of every call.
    base::duration latency = std::chrono::milliseconds(1);
    /// How long earlier states are retained for the fault `stale`; upper bound of its delay.
    base::duration history_retention = std::chrono::seconds(10);
};

/// Emulated platform: object API, watches, VM list, call counters and faults, as described in
/// section 9 of the design page. Thread-safe.
class platform_service {
public:
    /// Maximum size of a value in bytes; larger ones are rejected with status 413.
    static constexpr std::size_t max_value_bytes = 1024 * 1024;

    /// Starts listening and serving. Errors: `unavailable` if the address cannot be bound.
    static base::result<std::unique_ptr<platform_service>> start(asio::io_context& context,
                                                                 platform_options options);

    /// Calls `stop`.
    virtual ~platform_service() = default;

    /// Stops accepting connections. Calls in progress are completed, pending watches with status
    /// 204.
    virtual void stop() = 0;

    /// Sets the VM list. It becomes visible after `vm_list_lag`.
    virtual void set_vms(std::vector<object_api::vm> vms) = 0;

    /// Sets the active fault.
    virtual void set_fault(platform_fault fault) = 0;

    /// Number of calls since the start by kind: read, write, delete, list, watch, watch_vms, and
    /// "refused" for calls during the fault `down`.
    virtual std::map<std::string, std::uint64_t> calls() const = 0;

    virtual const base::address& address() const = 0;
};

} // namespace rattanbay::emulator
