#pragma once

#include <rattanbay/base/address.hpp>
#include <rattanbay/base/time.hpp>
#include <rattanbay/emulator/endpoint_fault.hpp>

#include <cstddef>
#include <cstdint>

namespace rattanbay::emulator {

/// Options common to all emulated endpoints.
struct endpoint_options {
    base::address address;
    /// Seed of the random jitter and faults.
    std::uint64_t seed = 1;
    /// Number of slots: calls or streams that run concurrently. Further ones are queued.
    std::size_t concurrency = 8;
    /// Whether `GET /v1/load` is served.
    bool reports_load = true;
    /// Age of the load that a report describes.
    base::duration load_report_age = std::chrono::milliseconds(500);
};

/// A running emulated endpoint. Every endpoint serves `POST /v1/faults` with {"mode", "delay_ms",
/// "probability"} and `POST /v1/leave` with {"leaving": bool}, echoes `X-Attempt-Id`, and sends
/// `X-Endpoint-State: leaving` while it is marked as leaving. Thread-safe.
class endpoint_service {
public:
    /// Calls `stop`.
    virtual ~endpoint_service() = default;

    /// Stops accepting connections; calls in progress are completed.
    virtual void stop() = 0;

    /// Stops accepting connections and closes those of calls in progress without a response, like a
    /// crashed endpoint.
    virtual void kill() = 0;

    /// Sets the active fault.
    virtual void set_fault(endpoint_fault fault) = 0;

    /// Sets whether responses announce that the endpoint is leaving.
    virtual void set_leaving(bool leaving) = 0;

    virtual const base::address& address() const = 0;
};

} // namespace rattanbay::emulator
