#include "internal/cold_exchange.hpp"

#include "internal/clock.hpp"

#include <algorithm>
#include <utility>

namespace rattanbay::daemon::internal {

namespace {

/// Number of endpoints in one report, so that it fits in a datagram.
constexpr std::size_t max_reported_endpoints = 30;
/// Bounds the time that another daemon may name.
constexpr std::uint64_t max_left_ms = 600'000;
/// Minimum time between two log lines about the cold endpoints.
constexpr std::chrono::seconds log_interval{1};

} // namespace

cold_exchange::cold_exchange(shared_state& shared, std::shared_ptr<peer_broadcaster> broadcaster)
    : shared_(shared)
    , broadcaster_(std::move(broadcaster))
    , view_(now()) {}

void cold_exchange::receive(const peer::cold_report& message) {
    const std::size_t count = std::min(message.endpoints.size(), message.left_ms.size());
    shared_.relay->balancer.use_cold_ceiling([&message, count](relay::cold_ceiling& ceiling) {
        for (std::size_t n = 0; n < count; ++n) {
            const std::uint64_t left_ms = std::min(message.left_ms[n], max_left_ms);
            ceiling.record_announcement(
                {message.endpoints[n], base::from_milliseconds(static_cast<std::int64_t>(left_ms))}, now());
        }
    });
}

void cold_exchange::announce() {
    std::vector<relay::cold_endpoint> found;
    shared_.relay->balancer.use_cold_ceiling(
        [&found](relay::cold_ceiling& ceiling) { found = ceiling.take_announcements(now()); });
    peer::cold_report report;
    for (const relay::cold_endpoint& row : found) {
        report.endpoints.push_back(row.id);
        report.left_ms.push_back(static_cast<std::uint64_t>(base::to_milliseconds(row.time_left)));
        if (report.endpoints.size() == max_reported_endpoints) {
            broadcaster_->send(std::exchange(report, {}));
        }
    }
    if (!report.endpoints.empty()) {
        broadcaster_->send(std::move(report));
    }
}

void cold_exchange::set_senders(const std::map<base::endpoint_id, std::size_t>& cold, bool may_send) {
    const std::vector<peer::member_record>& members = shared_.members.read()->members;
    std::map<base::endpoint_id, bool> roles;
    for (const std::pair<const base::endpoint_id, std::size_t>& row : cold) {
        const std::vector<peer::member_record> senders = membership::select_schedulers(
            members, base::service_name("cold " + row.first.text()), row.second);
        roles[row.first] = may_send && std::ranges::any_of(senders, [this](const peer::member_record& one) {
                               return one.id == shared_.id;
                           });
    }
    const std::size_t live_daemons = shared_.relay->live_daemons.load();
    shared_.relay->balancer.use_cold_ceiling([&roles, live_daemons](relay::cold_ceiling& ceiling) {
        ceiling.set_member_count(live_daemons);
        for (const std::pair<const base::endpoint_id, bool>& row : roles) {
            ceiling.set_sender(row.first, row.second, now());
        }
    });
}

void cold_exchange::refresh() {
    announce();
    const std::shared_ptr<const member_view> view = shared_.members.read();
    view_.record(
        static_cast<std::size_t>(std::ranges::count_if(
            view->members, [](const peer::member_record& one) { return membership::is_eligible(one); })),
        now());
    const bool may_send =
        view_.is_sufficient(!shared_.settings.seed_peers.empty(), now()) && !shared_.isolated.load();
    std::map<base::endpoint_id, std::size_t> cold;
    shared_.relay->balancer.use_cold_ceiling(
        [&cold](relay::cold_ceiling& ceiling) { cold = ceiling.list(now()); });
    if (!cold.empty()) {
        set_senders(cold, may_send);
    }
    shared_.metrics.set_cold_endpoints(cold.size());
    if (cold.size() != logged_count_ && now() - logged_at_ >= log_interval) {
        logged_count_ = cold.size();
        logged_at_ = now();
        telemetry::log(telemetry::log_event::cold_endpoints_changed,
                       {{"endpoints", std::to_string(cold.size())},
                        {"first", cold.empty() ? "" : cold.begin()->first.text()},
                        {"may_send", may_send ? "true" : "false"},
                        {"members", std::to_string(view->members.size())}});
    }
}

} // namespace rattanbay::daemon::internal
