#pragma once

#include <rattanbay/base/address.hpp>
#include <rattanbay/base/identifier.hpp>
#include <rattanbay/config/environment_document.hpp>
#include <rattanbay/object_api/vm_list.hpp>

#include <map>
#include <vector>

namespace rattanbay::routing {

/// An endpoint as listed in the VM list.
struct endpoint {
    base::endpoint_id id;
    base::address address;
    base::failure_domain failure_domain;
    object_api::vm_state state = object_api::vm_state::live;
};

/// Settings of a service and its endpoints.
struct service_endpoints {
    config::service settings;
    std::vector<endpoint> endpoints;
};

/// Immutable table of the endpoints of each service.
class endpoint_table {
public:
    /// Creates a table without services.
    endpoint_table() = default;

    /// Takes the services from `document` and their endpoints from `vms`. VMs of services that are not
    /// in the document are ignored, and so are VMs whose identifier occurs earlier in the list.
    endpoint_table(const object_api::vm_list& vms, const config::environment_document& document);

    /// All services, including those without endpoints.
    const std::map<base::service_name, service_endpoints>& services() const { return services_; }

    /// Returns the service with this name, or null.
    const service_endpoints* find(const base::service_name& service) const;

    /// Weight of cost relative to attainment of deadlines, from 0 to 1, as set in the document.
    double cost_weight() const { return cost_weight_; }

private:
    std::map<base::service_name, service_endpoints> services_;
    double cost_weight_ = 0;
};

} // namespace rattanbay::routing
