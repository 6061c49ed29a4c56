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

/// Settings of a `platform_service`.
struct platform_options {
    base::address address;
    /// Time until readers see a new VM list.
    base::duration vm_list_lag = std::chrono::milliseconds(500);
    /// Time that every call takes without a fault.
    base::duration latency = std::chrono::milliseconds(1);
    /// How long earlier states are kept for the fault `stale`; its delay is at most this.
    base::duration history = std::chrono::seconds(10);
};

/// Stand-in for the platform: object API, watches, VM list, call counters and faults, as section 9
/// of the design page describes them. Safe for use from several threads.
class platform_service {
public:
    /// Bytes of the largest value; larger ones are answered with status 413.
    static constexpr std::size_t max_value_bytes = 1024 * 1024;

    /// Listens and serves. Errors: `unavailable` when the address cannot be bound.
    static base::result<std::unique_ptr<platform_service>> start(asio::io_context& context,
                                                                 platform_options options);

    /// Stops as `stop` does.
    virtual ~platform_service() = default;

    /// Stops accepting; calls at hand are answered, waiting watches with status 204.
    virtual void stop() = 0;

    /// Sets the VM list; readers see it after the lag.
    virtual void set_vms(std::vector<object_api::vm> vms) = 0;

    /// Sets the fault that applies from now on.
    virtual void set_fault(platform_fault fault) = 0;

    /// Calls by kind (read, write, delete, list, watch, watch_vms) since the start; calls during the
    /// fault `down` count as "refused".
    virtual std::map<std::string, std::uint64_t> calls() const = 0;

    virtual const base::address& address() const = 0;
};

} // namespace rattanbay::emulator
