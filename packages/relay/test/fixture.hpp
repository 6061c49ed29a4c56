#pragma once

#include <rattanbay/relay.hpp>

#include <string>
#include <utility>
#include <vector>

/// Creates a VM list entry for an endpoint.
inline rattanbay::object_api::vm make_vm(const std::string& id, const std::string& service,
                                         const std::string& domain, std::uint8_t host) {
    rattanbay::object_api::vm out;
    out.id = rattanbay::base::vm_id(id);
    out.service = rattanbay::base::service_name(service);
    out.address = rattanbay::base::address{{10, 0, 0, host}, 8080};
    out.failure_domain = rattanbay::base::failure_domain(domain);
    out.slots = 4;
    return out;
}

/// Returns the time `ms` milliseconds after an arbitrary fixed start.
inline rattanbay::base::time_point at_ms(std::int64_t ms) {
    return rattanbay::base::time_point(std::chrono::hours(1)) + rattanbay::base::from_milliseconds(ms);
}
