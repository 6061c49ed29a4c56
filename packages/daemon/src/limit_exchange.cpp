#include "internal/limit_exchange.hpp"

#include "internal/clock.hpp"

#include <rattanbay/membership.hpp>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <cmath>

namespace rattanbay::daemon::internal {

namespace {

/// Time within which the shares follow the member list.
constexpr std::chrono::seconds refresh_interval{1};

} // namespace

limit_exchange::limit_exchange(shared_state& shared, std::shared_ptr<peer_broadcaster> broadcaster,
                               control_strand strand)
    : shared_(shared)
    , broadcaster_(std::move(broadcaster))
    , strand_(strand) {}

void limit_exchange::record_answer(const base::endpoint_id& endpoint, std::optional<double> limit) {
    if (!limit && count_.load() == 0) {
        return;
    }
    const std::shared_ptr<limit_exchange> self = shared_from_this();
    asio::post(strand_, [self, endpoint, limit]() { self->apply_answer(endpoint, limit); });
}

void limit_exchange::apply_answer(const base::endpoint_id& endpoint, std::optional<double> limit) {
    if (limits_.record_answer(endpoint, limit, now())) {
        apply_limit(endpoint, "answer");
        broadcaster_->send(peer::limit_report{endpoint, limit});
    }
}

void limit_exchange::receive(const peer::limit_report& message) {
    const std::optional<double> limit = message.requests_per_second;
    if (limit && (!std::isfinite(*limit) || *limit < 0)) {
        return;
    }
    const bool is_known = limits_.find(message.endpoint) == limit;
    limits_.record_announcement(message.endpoint, limit, now());
    if (!is_known) {
        apply_limit(message.endpoint, "peer");
    }
}

void limit_exchange::refresh() {
    const base::time_point time = now();
    if (time - last_refresh_ < refresh_interval) {
        return;
    }
    last_refresh_ = time;
    for (const base::endpoint_id& expired : limits_.remove_expired(time)) {
        apply_limit(expired, "expiry");
    }
    for (const relay::endpoint_limit& row : limits_.list()) {
        set_share(row);
    }
}

void limit_exchange::set_share(const relay::endpoint_limit& limit) {
    const std::vector<peer::member_record> senders = membership::select_schedulers(
        shared_.members.read()->members, base::service_name("limit " + limit.endpoint.text()),
        relay::sender_count(limit.requests_per_second));
    const bool is_sender = std::ranges::any_of(
        senders, [this](const peer::member_record& member) { return member.id == shared_.id; });
    const double share = is_sender ? limit.requests_per_second / static_cast<double>(senders.size()) : 0;
    shared_.relay->balancer.limit_requests(limit.endpoint, {limit.requests_per_second, share}, now());
}

void limit_exchange::apply_limit(const base::endpoint_id& endpoint, std::string_view source) {
    const std::optional<double> limit = limits_.find(endpoint);
    count_.store(limits_.list().size());
    shared_.metrics.set_limited_endpoints(count_.load());
    if (limit) {
        set_share({endpoint, *limit});
    } else {
        shared_.relay->balancer.unlimit_requests(endpoint);
    }
    telemetry::log(limit ? telemetry::log_event::endpoint_limited
                         : telemetry::log_event::endpoint_limit_ended,
                   {{"endpoint", endpoint.text()},
                    {"requests_per_second", limit ? std::to_string(*limit) : ""},
                    {"source", std::string(source)}});
}

} // namespace rattanbay::daemon::internal
