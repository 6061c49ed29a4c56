#include <rattanbay/relay/route_table.hpp>

#include <cassert>

namespace rattanbay::relay {

route_table::route_table(std::shared_ptr<const config::relay_document> document)
    : document_(std::move(document)) {
    assert(document_);
    for (const std::shared_ptr<const config::relay_route>& route : document_->routes) {
        by_host_[route->host].emplace(route->path_prefix, route.get());
    }
}

const config::relay_route* route_table::find(std::string_view host, std::string_view path) const {
    const auto routes = by_host_.find(host);
    if (routes == by_host_.end()) {
        return nullptr;
    }
    // Prefixes end with a slash, so only the parts of the path that do can be one.
    for (std::size_t end = path.rfind('/'); end != std::string_view::npos;
         end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
        const auto it = routes->second.find(path.substr(0, end + 1));
        if (it != routes->second.end()) {
            return it->second;
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
