#include <rattanbay/relay/route_table.hpp>

#include <algorithm>
#include <cassert>

namespace rattanbay::relay {

route_table::route_table(std::shared_ptr<const config::relay_document> document)
    : document_(std::move(document)) {
    assert(document_);
    for (const config::relay_route& route : document_->routes) {
        by_host_[route.host].push_back(&route);
    }
    for (auto& entry : by_host_) {
        std::stable_sort(entry.second.begin(), entry.second.end(),
                         [](const config::relay_route* lhs, const config::relay_route* rhs) {
                             return lhs->path_prefix.size() > rhs->path_prefix.size();
                         });
    }
}

const config::relay_route* route_table::find(std::string_view host, std::string_view path) const {
    const auto it = by_host_.find(std::string(host));
    if (it == by_host_.end()) {
        return nullptr;
    }
    for (const config::relay_route* route : it->second) {
        if (path.starts_with(route->path_prefix)) {
            return route;
        }
    }
    return nullptr;
}

const base::service_name& choose_target(const config::relay_route& route, base::random_source& random) {
    assert(!route.targets.empty());
    double total = 0;
    for (const config::relay_target& target : route.targets) {
        total += target.weight;
    }
    double remaining = random.unit() * total;
    for (const config::relay_target& target : route.targets) {
        remaining -= target.weight;
        if (remaining < 0) {
            return target.service;
        }
    }
    return route.targets.back().service;
}

} // namespace rattanbay::relay
