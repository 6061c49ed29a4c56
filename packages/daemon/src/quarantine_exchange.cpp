#include "internal/quarantine_exchange.hpp"

#include "internal/clock.hpp"

#include <rattanbay/http/client_connection.hpp>
#include <rattanbay/membership.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace rattanbay::daemon::internal {

namespace {

constexpr std::chrono::milliseconds connect_timeout{300};
/// Interval between the two connections that show that an endpoint has not crashed. The first one may still
/// reach a process that is ending.
constexpr std::chrono::milliseconds recheck_delay{100};
/// Minimum time after which a client is told to retry a request that was refused.
constexpr std::chrono::seconds min_retry_delay{1};
constexpr std::size_t max_reported_parts = 16;
/// Number of reports that are remembered, to recognise their repetitions.
constexpr std::size_t max_remembered_reports = 256;

std::string to_text(const std::vector<relay::part_key>& parts) {
    std::string out;
    for (const relay::part_key part : parts) {
        out += (out.empty() ? "" : " ") + std::to_string(part);
    }
    return out;
}

} // namespace

quarantine_exchange::quarantine_exchange(shared_state& shared, std::shared_ptr<peer_broadcaster> broadcaster,
                                         control_strand strand)
    : shared_(shared)
    , broadcaster_(std::move(broadcaster))
    , strand_(strand)
    , random_(shared.next_seed()) {}

void quarantine_exchange::check_endpoint(const relay::chosen_endpoint& endpoint,
                                         const base::request_id& request,
                                         std::vector<relay::part_key> parts) {
    const std::shared_ptr<quarantine_exchange> self = shared_from_this();
    asio::co_spawn(
        strand_,
        [self, endpoint, request, parts = std::move(parts)]() {
            return self->report_if_crashed(endpoint, request, parts);
        },
        asio::detached);
}

asio::awaitable<bool> quarantine_exchange::is_crashed(base::address endpoint) {
    const base::result<std::unique_ptr<http::client_connection>> opened =
        co_await http::client_connection::connect(strand_, endpoint, connect_timeout);
    co_return !opened;
}

asio::awaitable<void> quarantine_exchange::report_if_crashed(relay::chosen_endpoint endpoint,
                                                             base::request_id request,
                                                             std::vector<relay::part_key> parts) {
    const std::shared_ptr<quarantine_exchange> self = shared_from_this();
    bool crashed = co_await is_crashed(endpoint.address);
    if (!crashed) {
        asio::steady_timer timer(strand_, recheck_delay);
        boost::system::error_code ignored;
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        crashed = co_await is_crashed(endpoint.address);
    }
    if (!crashed) {
        co_return;
    }
    parts.resize(std::min(parts.size(), max_reported_parts));
    telemetry::log(telemetry::log_event::endpoint_crashed, {{"request", request.text()},
                                                            {"endpoint", endpoint.id.text()},
                                                            {"address", endpoint.address.text()},
                                                            {"parts", to_text(parts)}});
    record_crash(endpoint.id, parts);
    broadcaster_->send(peer::crash_report{endpoint.id, parts, random_.bits()});
}

void quarantine_exchange::record_crash(const base::endpoint_id& endpoint,
                                       const std::vector<relay::part_key>& parts) {
    const std::vector<relay::part_key> quarantined = shared_.relay->quarantine.record_crash(parts, now());
    if (!quarantined.empty()) {
        telemetry::log(telemetry::log_event::part_quarantined,
                       {{"endpoint", endpoint.text()}, {"parts", to_text(quarantined)}});
    }
}

void quarantine_exchange::record_answer(const std::vector<relay::part_key>& parts) {
    const std::vector<relay::part_key> cleared = shared_.relay->quarantine.record_answer(parts);
    if (cleared.empty()) {
        return;
    }
    telemetry::log(telemetry::log_event::part_cleared, {{"parts", to_text(cleared)}, {"source", "answer"}});
    broadcaster_->send(peer::part_clearance{cleared});
}

part_admission quarantine_exchange::admit(const std::vector<relay::part_key>& parts) {
    const std::optional<relay::quarantined_part> found = shared_.relay->quarantine.find(parts, now());
    if (!found) {
        return {};
    }
    if (found->time_to_trial == base::duration::zero() && try_begin_trial(found->part, parts)) {
        return part_admission{true, std::nullopt};
    }
    return part_admission{false, std::max<base::duration>(found->time_to_trial, min_retry_delay)};
}

bool quarantine_exchange::try_begin_trial(relay::part_key part, const std::vector<relay::part_key>& parts) {
    const base::service_name key("part " + std::to_string(part));
    const std::vector<peer::member_record> owner =
        membership::select_schedulers(shared_.members.read()->members, key, 1);
    const bool is_owner = owner.empty() || owner.front().id == shared_.id;
    return is_owner && shared_.relay->quarantine.try_begin_trial(parts, now());
}

void quarantine_exchange::receive(const peer::crash_report& message) {
    const bool is_repeated = message.id != 0 && std::ranges::find(reports_, message.id) != reports_.end();
    if (is_repeated) {
        return;
    }
    reports_.push_back(message.id);
    if (reports_.size() > max_remembered_reports) {
        reports_.pop_front();
    }
    record_crash(message.endpoint, message.parts);
}

void quarantine_exchange::receive(const peer::part_clearance& message) {
    const std::vector<relay::part_key> cleared = shared_.relay->quarantine.clear(message.parts);
    if (!cleared.empty()) {
        telemetry::log(telemetry::log_event::part_cleared, {{"parts", to_text(cleared)}, {"source", "peer"}});
    }
}

} // namespace rattanbay::daemon::internal
