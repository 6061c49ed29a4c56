#pragma once

#include <rattanbay/base/random_source.hpp>
#include <rattanbay/config/relay_document.hpp>

#include <memory>
#include <string_view>
#include <unordered_map>

namespace rattanbay::relay {

/// Immutable table of a document's routes by host and path prefix. Returned routes belong to the document,
/// which the table keeps alive.
class route_table {
public:
    explicit route_table(std::shared_ptr<const config::relay_document> document);

    /// Returns the route of `host` with the longest matching prefix of `path`, or null.
    const config::relay_route* find(std::string_view host, std::string_view path) const;

    const config::relay_document& document() const { return *document_; }

private:
    using routes_by_prefix = std::unordered_map<std::string_view, const config::relay_route*>;

    std::shared_ptr<const config::relay_document> document_;
    std::unordered_map<std::string_view, routes_by_prefix> by_host_;
};

/// Chooses a service of the route at random in proportion to the weights. The route must have targets.
const base::service_name& choose_target(const config::relay_route& route, base::random_source& random);

} // namespace rattanbay::relay
