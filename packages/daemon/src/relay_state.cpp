#include "internal/relay_state.hpp"

#include "internal/clock.hpp"

#include <rattanbay/telemetry.hpp>

#include <set>
#include <vector>

namespace rattanbay::daemon::internal {

namespace {

constexpr int status_ok = 200;
/// Time for which an endpoint that has ended gets no requests while the list still names it.
constexpr std::chrono::seconds ended_endpoint_pause{1};

} // namespace

const config::relay_service* relay_serving_state::find(const base::service_name& service) const {
    if (!routes) {
        return nullptr;
    }
    const auto it = routes->document().services.find(service);
    return it == routes->document().services.end() ? nullptr : &it->second;
}

relay_state::relay_state(config::relay_settings relay_settings, const base::failure_domain& local_domain,
                         std::shared_ptr<const relay::protocol> client_protocol, daemon_resources& resources,
                         std::uint64_t seed)
    : settings(relay_settings)
    , protocol(std::move(client_protocol))
    , serving(std::make_shared<relay_serving_state>())
    , balancer(local_domain, seed)
    , pool(http::descriptor_source{&resources.descriptors, http::descriptor_use::endpoints})
    , responses(resources.responses) {
    if (settings.cold_excess && settings.cold_slack) {
        balancer.enable_cold_ceiling({*settings.cold_excess, *settings.cold_slack});
    }
}

void relay_state::adopt(const std::shared_ptr<const config::environment_document>& document) {
    const std::shared_ptr<const relay_serving_state> previous = serving.read();
    const std::shared_ptr<relay_serving_state> next = std::make_shared<relay_serving_state>();
    next->revision = document->revision;
    const std::shared_ptr<const config::relay_document> section(document, &*document->relay);
    next->routes = std::make_shared<relay::route_table>(section);
    for (const auto& row : section->services) {
        const auto it = previous->resend_budgets.find(row.first);
        next->resend_budgets[row.first] = it == previous->resend_budgets.end()
                                              ? std::make_shared<relay::resend_budget>(settings.retry_budget)
                                              : it->second;
    }
    std::map<base::service_name, relay::cold_rule> rules;
    for (const auto& row : section->services) {
        rules[row.first] = {row.second.cold_time, row.second.cold_requests_per_second};
    }
    balancer.use_cold_ceiling([&rules](relay::cold_ceiling& ceiling) { ceiling.set_rules(rules); });
    serving.publish(next);
    if (on_client_limits) {
        on_client_limits(section->limits);
    }
}

void relay_state::update_endpoints(const object_api::vm_list& vms) {
    for (const base::address& address : balancer.update(vms)) {
        pool.close_idle(address);
    }
    balancer.use_cold_ceiling([&vms](relay::cold_ceiling& ceiling) { ceiling.update(vms, now()); });
    // Every listed endpoint has a failure domain.
    pool.close_unlisted(
        [this](const base::address& address) { return !balancer.failure_domain_at(address).empty(); });
    calls->end_calls(balancer);
    std::set<base::service_name> services;
    for (const auto& row : versions.snapshot(now())) {
        services.insert(row.first);
    }
    const std::vector<base::service_name> listed = balancer.services();
    services.insert(listed.begin(), listed.end());
    for (const base::service_name& service : services) {
        versions.observe(service, balancer.software_versions(service), now());
    }
}

std::optional<std::map<base::service_name, std::set<std::string>>>
relay_state::versions_of_streams(base::time_point now) const {
    const std::shared_ptr<const relay_serving_state> state = serving.read();
    if (!state->routes) {
        return std::nullopt;
    }
    std::map<base::service_name, std::set<std::string>> out;
    for (const std::shared_ptr<const config::relay_route>& route : state->routes->document().routes) {
        if (route->retry != config::retry_mode::resumable) {
            continue;
        }
        for (const config::relay_target& target : route->targets) {
            out.try_emplace(target.service, versions.active(target.service, now));
        }
    }
    return out;
}

void relay_state::record_unreachable(const base::endpoint_id& endpoint) {
    balancer.use_cold_ceiling(
        [&endpoint](relay::cold_ceiling& ceiling) { ceiling.record_failure(endpoint, now()); });
}

void relay_state::record_misdirected(const relay::chosen_endpoint& endpoint) {
    balancer.pause(endpoint.id, now() + ended_endpoint_pause);
    pool.close_idle(endpoint.address);
    calls->record_misdirected(endpoint);
}

void relay_state::record_endpoint_wishes(const base::endpoint_id& endpoint,
                                         const relay::endpoint_response_header& header) {
    if (header.is_leaving && balancer.mark_leaving(endpoint)) {
        telemetry::log(telemetry::log_event::endpoint_leaving, {{"endpoint", endpoint.text()}});
    }
    // Errors may come from what stands before the endpoint, which does not know its limit.
    if (on_request_limit && (header.request_limit || header.status == status_ok)) {
        on_request_limit(endpoint, header.request_limit);
    }
    if (header.cold_time_left) {
        balancer.use_cold_ceiling([&endpoint, &header](relay::cold_ceiling& ceiling) {
            ceiling.record_report(endpoint, *header.cold_time_left, now());
        });
    }
    if (header.retry_after) {
        balancer.pause(endpoint, now() + *header.retry_after);
        telemetry::log(telemetry::log_event::endpoint_paused,
                       {{"endpoint", endpoint.text()},
                        {"ms", std::to_string(base::to_milliseconds(*header.retry_after))}});
    }
}

} // namespace rattanbay::daemon::internal
