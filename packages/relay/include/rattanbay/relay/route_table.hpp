#pragma once

#include <rattanbay/base/random_source.hpp>
#include <rattanbay/config/relay_document.hpp>

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace rattanbay::relay {

/// The routes of a document by host; it does not change once built. Routes refer to the document,
/// which the table keeps alive.
class route_table {
public:
    explicit route_table(std::shared_ptr<const config::relay_document> document);

    /// The route of `host` with the longest prefix of `path`, or null.
    const config::relay_route* find(std::string_view host, std::string_view path) const;

    const config::relay_document& document() const { return *document_; }

private:
    std::shared_ptr<const config::relay_document> document_;
    /// Routes of each host, those with longer prefixes first.
    std::unordered_map<std::string, std::vector<const config::relay_route*>> by_host_;
};

/// Draws a service of the route in proportion to the weights; the route has targets.
const base::service_name& draw_target(const config::relay_route& route, base::random_source& random);

} // namespace rattanbay::relay
