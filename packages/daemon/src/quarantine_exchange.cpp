#include "internal/quarantine_exchange.hpp"

#include "internal/clock.hpp"
#include "internal/scope_exit.hpp"

#include <rattanbay/http/client_connection.hpp>
#include <rattanbay/membership.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace rattanbay::daemon::internal {

namespace {

constexpr std::chrono::milliseconds connect_timeout{300};
/// Interval between the two connections that show that an endpoint has not crashed. The first one may still
/// reach a process that is ending.
constexpr std::chrono::milliseconds recheck_delay{100};
/// Minimum time after which a client is told to retry a request that was refused.
constexpr std::chrono::seconds min_retry_delay{1};
/// Number of parts in a report, which is a datagram.
constexpr std::size_t max_reported_parts = 16;
/// Interval at which one other daemon is told of parts, and the number of parts in a datagram of less than
/// 1 KB.
constexpr std::chrono::seconds tell_interval{1};
constexpr std::size_t max_told_parts = 16;
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

quarantine_exchange::quarantine_exchange(shared_state& shared, std::shared_ptr<peer_transport> transport,
                                         std::shared_ptr<peer_broadcaster> broadcaster, control_strand strand)
    : shared_(shared)
    , transport_(std::move(transport))
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
            return self->join_check(endpoint, request, parts);
        },
        asio::detached);
}

asio::awaitable<void> quarantine_exchange::join_check(relay::chosen_endpoint endpoint,
                                                      base::request_id request,
                                                      std::vector<relay::part_key> parts) {
    const std::shared_ptr<quarantine_exchange> self = shared_from_this();
    const auto [it, is_first] = checks_.try_emplace(endpoint.id);
    it->second.insert(parts.begin(), parts.end());
    if (!is_first) {
        co_return;
    }
    const scope_exit ended([this, id = endpoint.id]() { checks_.erase(id); });
    if (!co_await has_crashed(endpoint.address)) {
        co_return;
    }
    std::vector<relay::part_key> reported;
    for (const relay::part_key part : checks_.at(endpoint.id)) {
        reported.push_back(part);
        if (reported.size() == max_reported_parts) {
            report_crash(endpoint, request, std::exchange(reported, {}));
        }
    }
    if (!reported.empty()) {
        report_crash(endpoint, request, reported);
    }
}

asio::awaitable<bool> quarantine_exchange::refuses_connections(base::address endpoint) {
    const base::result<std::unique_ptr<http::client_connection>> opened =
        co_await http::client_connection::connect(strand_, endpoint, connect_timeout);
    // A connection that is not answered, or for which there is no descriptor, does not tell a crash from a
    // failure of the network or of this VM.
    co_return !opened && opened.error().code == base::error_code::connection_refused;
}

asio::awaitable<bool> quarantine_exchange::has_crashed(base::address endpoint) {
    if (co_await refuses_connections(endpoint)) {
        co_return true;
    }
    asio::steady_timer timer(strand_, recheck_delay);
    boost::system::error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    co_return co_await refuses_connections(endpoint);
}

void quarantine_exchange::report_crash(const relay::chosen_endpoint& endpoint,
                                       const base::request_id& request,
                                       const std::vector<relay::part_key>& parts) {
    telemetry::log(telemetry::log_event::endpoint_crashed, {{"request", request.text()},
                                                            {"endpoint", endpoint.id.text()},
                                                            {"address", endpoint.address.text()},
                                                            {"parts", to_text(parts)}});
    const std::vector<relay::part_key> quarantined = record_crash(endpoint.id, parts);
    broadcaster_->send(peer::crash_report{endpoint.id, parts, random_.bits()});
    if (!quarantined.empty()) {
        broadcaster_->send(peer::part_notice{shared_.relay->quarantine.records(quarantined, now())});
    }
}

std::vector<relay::part_key> quarantine_exchange::record_crash(const base::endpoint_id& endpoint,
                                                               const std::vector<relay::part_key>& parts) {
    std::vector<relay::part_key> quarantined = shared_.relay->quarantine.record_crash(parts, now());
    if (!quarantined.empty()) {
        telemetry::log(telemetry::log_event::part_quarantined,
                       {{"endpoint", endpoint.text()}, {"parts", to_text(quarantined)}});
    }
    return quarantined;
}

void quarantine_exchange::record_answer(const std::vector<relay::part_key>& parts) {
    const std::vector<relay::part_key> cleared = shared_.relay->quarantine.record_answer(parts, now());
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
    if (found->time_to_trial == base::duration::zero() && try_begin_trial(parts)) {
        return part_admission{true, std::nullopt};
    }
    return part_admission{false, std::max<base::duration>(found->time_to_trial, min_retry_delay)};
}

bool quarantine_exchange::try_begin_trial(const std::vector<relay::part_key>& parts) {
    const base::time_point time = now();
    if (!turn_.is_allowed(time) || !shared_.relay->quarantine.try_begin_trial(parts, time)) {
        return false;
    }
    std::vector<relay::part_record> records = shared_.relay->quarantine.records(parts, time);
    records.resize(std::min(records.size(), max_told_parts));
    telemetry::log(telemetry::log_event::part_trial_begun, {{"parts", to_text(parts)}});
    broadcaster_->send(peer::part_notice{std::move(records)});
    return true;
}

void quarantine_exchange::refresh() {
    observe_members();
    const base::time_point time = now();
    if (time - last_told_ >= tell_interval) {
        last_told_ = time;
        tell_one_member();
    }
}

void quarantine_exchange::observe_members() {
    const std::shared_ptr<const member_view> view = shared_.members.read();
    std::set<base::incarnation> live;
    for (const peer::member_record& member : view->members) {
        if (member.status == peer::member_status::live) {
            live.insert(member.id);
        }
    }
    const std::vector<peer::member_record> holder =
        membership::select_schedulers(view->members, base::service_name("part trials"), 1);
    const bool is_cut_off = shared_.isolated.load() || shared_.verifying.load();
    const bool is_holder = !is_cut_off && (holder.empty() || holder.front().id == shared_.id);
    turn_.observe(live, is_holder, now());
}

void quarantine_exchange::tell_one_member() {
    std::vector<relay::part_record> records = shared_.relay->quarantine.records(now());
    if (records.empty()) {
        return;
    }
    std::vector<base::address> others;
    const std::shared_ptr<const member_view> view = shared_.members.read();
    for (const peer::member_record& member : view->members) {
        if (member.id != shared_.id && member.status != peer::member_status::gone) {
            others.push_back(member.peer_address);
        }
    }
    if (others.empty()) {
        return;
    }
    // Continues after the part that was told last; the records are sorted by part.
    const auto next = std::ranges::upper_bound(records, last_told_part_, {}, &relay::part_record::part);
    std::rotate(records.begin(), next, records.end());
    records.resize(std::min(records.size(), max_told_parts));
    last_told_part_ = records.back().part;
    transport_->send(others[random_.below(others.size())], peer::part_notice{std::move(records)});
}

void quarantine_exchange::receive(const base::address& from, const peer::part_notice& message) {
    const relay::part_quarantine::merge_result merged =
        shared_.relay->quarantine.merge(message.records, now());
    if (!merged.quarantined.empty()) {
        telemetry::log(telemetry::log_event::part_quarantined,
                       {{"endpoint", ""}, {"parts", to_text(merged.quarantined)}});
    }
    if (!merged.outdated.empty()) {
        transport_->send(from, peer::part_clearance{merged.outdated});
    }
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
    const std::vector<relay::part_key> cleared = shared_.relay->quarantine.clear(message.parts, now());
    if (!cleared.empty()) {
        telemetry::log(telemetry::log_event::part_cleared, {{"parts", to_text(cleared)}, {"source", "peer"}});
    }
}

} // namespace rattanbay::daemon::internal
