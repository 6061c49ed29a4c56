#pragma once

#include <rattanbay/base/snapshot.hpp>
#include <rattanbay/config.hpp>
#include <rattanbay/http/connection_pool.hpp>
#include <rattanbay/relay.hpp>

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace rattanbay::daemon::internal {

/// What relayed requests are served by: replaced as a whole when a document is adopted.
struct relay_serving {
    std::uint64_t revision = 0;
    std::shared_ptr<const relay::route_table> routes;
    std::map<base::service_name, std::shared_ptr<relay::resend_budget>> budgets;

    /// The service's settings, or null.
    const config::relay_service* find(const base::service_name& service) const;
};

/// State of relayed requests that request threads share.
struct relay_state {
    relay_state(config::relay_settings relay_settings, const base::failure_domain& local,
                std::shared_ptr<const relay::protocol> translation, std::uint64_t seed);

    /// Puts a document with a relay section in force; called on the control strand.
    void adopt(const std::shared_ptr<const config::environment_document>& document);

    const config::relay_settings settings;
    const std::shared_ptr<const relay::protocol> protocol;
    /// Empty until the first document is adopted.
    base::snapshot<relay_serving> serving;
    relay::balancer balancer;
    http::connection_pool pool;
    /// Told of the limits on what clients may send; set before documents are adopted.
    std::function<void(const config::client_limits&)> on_limits;
    /// Live daemons, this one included.
    std::atomic<std::size_t> daemons{1};
    /// Whether a planned stop has come so far that new requests are refused.
    std::atomic<bool> refusing{false};
};

} // namespace rattanbay::daemon::internal
