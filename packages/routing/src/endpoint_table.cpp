#include <rattanbay/routing/endpoint_table.hpp>

#include <unordered_set>

namespace rattanbay::routing {

endpoint_table::endpoint_table(const object_api::vm_list& vms, const config::environment_document& document)
    : cost_weight_(document.cost_weight) {
    for (const auto& [name, settings] : document.services) {
        services_.emplace(name, service_endpoints{settings, {}});
    }
    std::unordered_set<base::vm_id> seen;
    for (const object_api::vm& vm : vms.vms) {
        const auto it = services_.find(vm.service);
        if (it == services_.end() || !seen.insert(vm.id).second) {
            continue;
        }
        const base::endpoint_id id(vm.id.text());
        it->second.endpoints.push_back({id, vm.address, vm.failure_domain, vm.state});
    }
}

const service_endpoints* endpoint_table::find(const base::service_name& service) const {
    const auto it = services_.find(service);
    return it == services_.end() ? nullptr : &it->second;
}

} // namespace rattanbay::routing
