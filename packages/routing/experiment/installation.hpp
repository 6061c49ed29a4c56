#pragma once

#include <rattanbay/base/time.hpp>
#include <rattanbay/config/environment_document.hpp>
#include <rattanbay/object_api/vm_list.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace rattanbay::routing::experiment {

/// A service of an installation and the work that one call there is.
struct service_plan {
    std::string name;
    config::service_kind kind = config::service_kind::worker_pool;
    std::size_t replicas = 1;
    /// Calls that a replica works on at a time; more wait in its queue.
    std::size_t slots = 1;
    base::duration mean{};
    bool reports_load = false;
};

/// Sizes and distances of an installation (section 1.4 of the design page).
struct installation {
    std::string name;
    std::size_t domains = 1;
    std::size_t entry_vms = 1;
    base::duration one_way{};
    /// Arrivals of pipeline requests in a quiet time; about 60% of what the services can do.
    double requests_per_second = 0;
    std::vector<service_plan> services;
};

/// Installation T with 8 entry VMs.
installation installation_t();

/// Installation Z with 6 entry VMs.
installation installation_z();

/// Failure domain number `n`.
base::failure_domain domain(std::size_t n);

/// Document of the installation with one large and four small accounts.
config::environment_document make_document(const installation& site, double cost_weight);

/// VM list with the endpoints of all services, spread evenly over the failure domains.
object_api::vm_list make_vm_list(const installation& site);

} // namespace rattanbay::routing::experiment
