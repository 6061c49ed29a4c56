#pragma once

#include <rattanbay/base/address.hpp>
#include <rattanbay/base/enum_names.hpp>
#include <rattanbay/base/identifier.hpp>
#include <rattanbay/object_api/store_revision.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace rattanbay::object_api {

/// State of a VM in the VM list.
enum class vm_state { live, leaving };

/// An entry of the VM list. Endpoints of a service are listed under the name of the service.
struct vm {
    base::vm_id id;
    base::service_name service;
    base::address address;
    base::failure_domain failure_domain;
    vm_state state = vm_state::live;
    /// Concurrent requests the VM reports to support; 0 if unknown.
    std::uint32_t slots = 0;
    /// Start of the VM's process in Unix milliseconds, which tells it from an earlier one under the same
    /// identifier; 0 if unknown.
    std::uint64_t started_ms = 0;
    /// Time for which the VM reports to remain slow after its start, in milliseconds; 0 if it is not.
    std::uint64_t cold_left_ms = 0;
    /// Version of the VM's software; empty if the entry does not tell it. It is opaque: versions are only
    /// compared for equality.
    std::string software_version{};

    friend bool operator==(const vm&, const vm&) = default;
};

/// The VM list as reported by the platform; it lags behind the actual state of the VMs.
struct vm_list {
    /// Revision of the store that the list shows; unset if there is none.
    store_revision version{};
    std::vector<vm> vms;

    friend bool operator==(const vm_list&, const vm_list&) = default;
};

} // namespace rattanbay::object_api

template <> struct rattanbay::base::enum_names<rattanbay::object_api::vm_state> {
    static constexpr std::array<enum_name<object_api::vm_state>, 2> table{{
        {object_api::vm_state::live, "live"},
        {object_api::vm_state::leaving, "leaving"},
    }};
};
