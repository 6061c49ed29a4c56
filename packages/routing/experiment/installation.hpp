#pragma once

#include <rattanbay/base/time.hpp>
#include <rattanbay/config/environment_document.hpp>
#include <rattanbay/object_api/vm_list.hpp>

#include <cstddef>
#include <string>
#include <vector>

namespace rattanbay::routing::experiment {

/// Service of an installation and the processing time of its calls.
struct service_spec {
    std::string name;
    config::service_kind kind = config::service_kind::worker_pool;
    std::size_t replicas = 1;
    /// Maximum number of calls that a replica processes concurrently; further calls are queued.
    std::size_t slots = 1;
    base::duration mean_processing_time{};
    bool reports_load = false;
};

/// Numbers of machines, network delay and load of an installation; see section 1.4 of docs/design.md.
struct installation {
    std::string name;
    std::size_t domain_count = 1;
    std::size_t entry_vm_count = 1;
    /// One-way network delay between failure domains.
    base::duration one_way_delay{};
    /// Arrival rate of pipeline requests outside bursts; about 60% of the capacity of the services.
    double requests_per_second = 0;
    std::vector<service_spec> services;
};

/// Installation T with 8 entry VMs.
installation installation_t();

/// Installation Z with 6 entry VMs.
installation installation_z();

/// Returns the failure domain with index `n`.
base::failure_domain domain(std::size_t n);

/// Creates the document of the installation with one large and four small client accounts.
config::environment_document make_document(const installation& site, double cost_weight);

/// Creates the VM list with the endpoints of all services, spread evenly over the failure domains.
object_api::vm_list make_vm_list(const installation& site);

} // namespace rattanbay::routing::experiment
