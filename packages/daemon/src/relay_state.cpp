#include "internal/relay_state.hpp"

namespace rattanbay::daemon::internal {

const config::relay_service* relay_serving::find(const base::service_name& service) const {
    if (!routes) {
        return nullptr;
    }
    const auto it = routes->document().services.find(service);
    return it == routes->document().services.end() ? nullptr : &it->second;
}

relay_state::relay_state(config::relay_settings relay_settings, const base::failure_domain& local,
                         std::shared_ptr<const relay::protocol> translation, std::uint64_t seed)
    : settings(relay_settings)
    , protocol(std::move(translation))
    , serving(std::make_shared<relay_serving>())
    , balancer(local, seed) {}

void relay_state::adopt(const std::shared_ptr<const config::environment_document>& document) {
    const std::shared_ptr<const relay_serving> before = serving.read();
    const std::shared_ptr<relay_serving> next = std::make_shared<relay_serving>();
    next->revision = document->revision;
    const std::shared_ptr<const config::relay_document> section(document, &*document->relay);
    next->routes = std::make_shared<relay::route_table>(section);
    for (const auto& row : section->services) {
        const auto it = before->budgets.find(row.first);
        next->budgets[row.first] = it == before->budgets.end()
                                       ? std::make_shared<relay::resend_budget>(settings.retry_budget)
                                       : it->second;
    }
    serving.publish(next);
    if (on_limits) {
        on_limits(section->limits);
    }
}

} // namespace rattanbay::daemon::internal
