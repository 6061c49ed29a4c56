#pragma once

#include <rattanbay/base/address.hpp>
#include <rattanbay/base/identifier.hpp>
#include <rattanbay/config/environment_document.hpp>
#include <rattanbay/object_api/vm_list.hpp>

#include <map>
#include <vector>

namespace rattanbay::routing {

/// An endpoint as the VM list gives it.
struct endpoint {
    base::endpoint_id id;
    base::address address;
    base::failure_domain failure_domain;
    object_api::vm_state state = object_api::vm_state::live;
};

/// A service with its endpoints.
struct service_endpoints {
    config::service settings;
    std::vector<endpoint> endpoints;
};

/// The endpoints of each service of a document; it does not change once built.
class endpoint_table {
public:
    /// A table without services.
    endpoint_table() = default;

    /// Takes the services from `document` and their endpoints from `vms`. VMs of services that the
    /// document lacks are left out, as are entries that repeat an earlier entry's identifier.
    endpoint_table(const object_api::vm_list& vms, const config::environment_document& document);

    /// All services, those without endpoints included.
    const std::map<base::service_name, service_endpoints>& services() const { return services_; }

    /// The service of this name, or null.
    const service_endpoints* find(const base::service_name& service) const;

    /// Weight of cost against attainment, 0 to 1, from the document.
    double cost_weight() const { return cost_weight_; }

private:
    std::map<base::service_name, service_endpoints> services_;
    double cost_weight_ = 0;
};

} // namespace rattanbay::routing
