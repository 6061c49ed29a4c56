#include "internal/speed_exchange.hpp"

#include "internal/clock.hpp"

#include <rattanbay/membership.hpp>
#include <rattanbay/telemetry.hpp>

#include <boost/asio/post.hpp>

#include <algorithm>
#include <cmath>
#include <string>

namespace rattanbay::daemon::internal {

namespace {

constexpr std::chrono::milliseconds sample_interval{500};
/// Time between two announcements in a deployment of at most `small_member_count` daemons, and in larger
/// ones.
constexpr std::chrono::seconds announcement_interval{2};
constexpr std::chrono::seconds long_announcement_interval{4};
constexpr std::size_t small_member_count = 128;
/// Bytes per second that a daemon sends for announcements, and the size of a message without its elements.
constexpr double bytes_per_second = 600;
constexpr double message_bytes = 45;
constexpr double element_bytes = 5;
constexpr std::size_t min_elements = 4;
constexpr std::size_t max_elements = 200;
/// Samples that wait for the next messages; the others are dropped. Bounds the messages to 12 per second; a
/// daemon of 81 sees 5 streams per second.
constexpr std::size_t max_waiting_samples = 6;

std::size_t element_limit(double bytes, std::size_t receivers) {
    const double each = bytes / static_cast<double>(std::max<std::size_t>(1, receivers)) - message_bytes;
    return static_cast<std::size_t>(std::clamp(each / element_bytes, static_cast<double>(min_elements),
                                               static_cast<double>(max_elements)));
}

} // namespace

speed_exchange::speed_exchange(shared_state& shared, std::shared_ptr<peer_transport> transport,
                               control_strand strand)
    : shared_(shared)
    , transport_(std::move(transport))
    , strand_(strand) {}

void speed_exchange::record_stream(stream_observation observation) {
    const std::shared_ptr<speed_exchange> self = shared_from_this();
    asio::post(strand_, [self, observation = std::move(observation)]() { self->apply_stream(observation); });
}

void speed_exchange::apply_stream(const stream_observation& observation) {
    const relay::engine_key key = relay::key_of(observation.endpoint);
    const std::optional<double> slowness = comparison_.compare(
        observation.route, observation.first_event, observation.time_per_event, observation.relative_size,
        shared_.relay->balancer.speed_weight(key, relay::engine_speeds::usual_exponent, now()));
    if (slowness && samples_.size() < max_waiting_samples) {
        const double steps = *slowness * relay::engine_speeds::sample_steps_per_unit;
        constexpr double limit = relay::engine_speeds::max_steps;
        samples_.push_back({key, static_cast<int>(std::lround(std::clamp(steps, -limit, limit)))});
    }
}

void speed_exchange::receive(const peer::speed_samples& message) {
    const base::time_point time = now();
    for (const std::uint32_t packed : message.samples) {
        shared_.relay->balancer.record_speed_sample(relay::engine_slowness::unpack(packed), time);
    }
}

void speed_exchange::receive(const peer::speed_announcement& message) {
    const base::time_point time = now();
    for (const std::uint32_t packed : message.engines) {
        const relay::engine_slowness engine = relay::engine_slowness::unpack(packed);
        shared_.relay->balancer.record_speed_announcement(engine, time);
        if (message.pass_on && (heard_.size() < max_elements || heard_.contains(engine.engine))) {
            heard_[engine.engine] = engine;
        }
    }
}

void speed_exchange::refresh() {
    const base::time_point time = now();
    if (time - last_samples_ >= sample_interval) {
        last_samples_ = time;
        send_samples();
    }
    const bool is_small = shared_.members.read()->members.size() <= small_member_count;
    if (time - last_announcement_ >= (is_small ? announcement_interval : long_announcement_interval)) {
        last_announcement_ = time;
        announce();
    }
}

void speed_exchange::send_samples() {
    const std::shared_ptr<const member_view> view = shared_.members.read();
    std::map<base::address, peer::speed_samples> messages;
    for (const relay::engine_slowness& sample : std::exchange(samples_, {})) {
        const std::vector<peer::member_record> owners = membership::select_schedulers(
            view->members, base::service_name("engine " + std::to_string(sample.engine)), 1);
        if (owners.empty() || owners.front().id == shared_.id) {
            shared_.relay->balancer.record_speed_sample(sample, now());
        } else {
            messages[owners.front().peer_address].samples.push_back(sample.packed());
        }
    }
    for (const auto& [address, message] : messages) {
        transport_->send(address, message);
    }
}

void speed_exchange::announce() {
    const std::shared_ptr<const member_view> view = shared_.members.read();
    const auto own = std::ranges::find(view->members, shared_.id, &peer::member_record::id);
    const membership::dissemination_square square =
        own == view->members.end() ? membership::dissemination_square()
                                   : membership::find_square(view->members, own->peer_address);
    const bool is_small = view->members.size() <= small_member_count;
    const std::chrono::seconds interval = is_small ? announcement_interval : long_announcement_interval;
    const double bytes = bytes_per_second * static_cast<double>(interval.count());
    // A third of the bytes for the row, as its messages have fewer elements.
    constexpr double row_share = 1.0 / 3;
    const std::vector<relay::engine_slowness> owned = shared_.relay->balancer.take_speed_announcements(
        element_limit(bytes * row_share, square.row.size()), now());
    peer::speed_announcement to_row{true, {}};
    for (const relay::engine_slowness& engine : owned) {
        log_change(engine);
        to_row.engines.push_back(engine.packed());
    }
    peer::speed_announcement to_column{false, to_row.engines};
    const std::size_t column_limit = element_limit(bytes * (1 - row_share), square.column.size());
    // Goes on where the last message ended, so that no engine is always left out.
    while (!heard_.empty() && to_column.engines.size() < column_limit) {
        auto it = heard_.lower_bound(next_heard_);
        it = it == heard_.end() ? heard_.begin() : it;
        next_heard_ = it->first + 1;
        to_column.engines.push_back(it->second.packed());
        heard_.erase(it);
    }
    if (!to_row.engines.empty()) {
        transport_->send(square.row, to_row);
    }
    if (!to_column.engines.empty()) {
        transport_->send(square.column, to_column);
    }
    shared_.metrics.set_distinct_engines(shared_.relay->balancer.distinct_engine_count(now()));
}

void speed_exchange::log_change(const relay::engine_slowness& engine) {
    const auto [it, is_new] = announced_.try_emplace(engine.engine, 0);
    if (it->second == engine.steps) {
        return;
    }
    it->second = engine.steps;
    telemetry::log(telemetry::log_event::engine_speed_changed,
                   {{"engine", std::to_string(engine.engine)}, {"steps", std::to_string(engine.steps)}});
    if (engine.steps == 0) {
        announced_.erase(it);
    }
}

} // namespace rattanbay::daemon::internal
