#include "internal/evacuation_synchronizer.hpp"

#include "internal/clock.hpp"
#include "internal/watch_failures.hpp"

#include <rattanbay/telemetry.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <string>

namespace rattanbay::daemon::internal {

namespace {

/// Age of what the store may answer when it is allowed to be stale, with a margin for the way. A follower
/// reads without delay if the bound on evacuations is shorter.
constexpr std::chrono::milliseconds max_staleness{4500};
/// Time over which the daemons spread their reads after the store came back from a copy.
constexpr std::chrono::milliseconds relisting_spread{300};
/// Delay before the next watch on a platform that answers watches at once.
constexpr std::chrono::seconds list_interval{1};

/// Names for a log line, which lists at most `max_logged_domains` of them.
std::string join_for_log(const std::set<base::failure_domain>& domains) {
    constexpr std::size_t max_logged_domains = 16;
    std::string out;
    std::size_t count = 0;
    for (const base::failure_domain& domain : domains) {
        if (++count > max_logged_domains) {
            return out + " and " + std::to_string(domains.size() - max_logged_domains) + " more";
        }
        out += (out.empty() ? "" : " ") + domain.text();
    }
    return out;
}

} // namespace

evacuation_synchronizer::evacuation_synchronizer(shared_state& shared, control_strand strand,
                                                 platform_session& platform, const store_role& role,
                                                 base::duration bound, notice_sender send_notice)
    : shared_(shared)
    , strand_(strand)
    , platform_(platform)
    , role_(role)
    , bound_(bound)
    , send_notice_(std::move(send_notice)) {}

void evacuation_synchronizer::start() {
    platform_.on_new_era([this]() { begin_era(); });
    start_watch();
}

void evacuation_synchronizer::begin_era() {
    evacuated_.restart_listing();
    const std::shared_ptr<evacuation_synchronizer> self = shared_from_this();
    const std::uint64_t generation = ++watch_generation_;
    asio::co_spawn(
        strand_,
        [self, generation]() -> asio::awaitable<void> {
            co_await self->platform_.sleep_below(relisting_spread);
            // If the store came back again meanwhile, its later return starts the watch.
            if (generation == self->watch_generation_) {
                self->start_watch();
            }
        },
        asio::detached);
}

void evacuation_synchronizer::start_watch() {
    const std::shared_ptr<evacuation_synchronizer> self = shared_from_this();
    const std::uint64_t generation = ++watch_generation_;
    asio::co_spawn(
        strand_, [self, generation]() { return self->watch(generation); }, asio::detached);
}

object_api::watch_names evacuation_synchronizer::next_call(base::duration wait) const {
    object_api::watch_names out{std::string(object_api::evacuated_domain_kind), {}, wait, false, {}};
    if (evacuated_.needs_list()) {
        out.page_after = evacuated_.next_page_after();
    } else {
        out.after = state().version;
        out.may_be_stale = !role_.is_reader() && bound_ >= max_staleness;
    }
    return out;
}

asio::awaitable<void> evacuation_synchronizer::watch(std::uint64_t generation) {
    watch_failures failures;
    while (generation == watch_generation_) {
        const object_api::watch_names request = next_call(failures.wait());
        const object_api::answer answer = co_await platform_.call(request);
        if (generation != watch_generation_) {
            co_return;
        }
        const bool usable = !std::holds_alternative<object_api::failed>(answer);
        failures.record(usable);
        apply(answer);
        if (!usable) {
            co_await platform_.back_off("watch_names", failures.count(), answer);
        } else if (state().version.is_unset() && !evacuated_.needs_list()) {
            evacuated_.restart_listing();
            co_await platform_.sleep_for(list_interval);
        }
    }
}

void evacuation_synchronizer::apply(const object_api::answer& answer) {
    bool changed = false;
    if (const object_api::object_names* page = std::get_if<object_api::object_names>(&answer)) {
        changed = evacuated_.apply(*page);
    } else if (const object_api::object_name_changes* changes =
                   std::get_if<object_api::object_name_changes>(&answer)) {
        changed = evacuated_.apply(*changes);
    } else if (const object_api::unchanged* unchanged = std::get_if<object_api::unchanged>(&answer)) {
        evacuated_.advance_to(unchanged->version);
    } else if (const object_api::history_lost* lost = std::get_if<object_api::history_lost>(&answer)) {
        telemetry::log(
            telemetry::log_event::history_lost,
            {{"version", state().version.text()}, {"era", std::to_string(lost->era)}, {"of", "evacuations"}});
        evacuated_.restart_listing();
    }
    if (!changed) {
        return;
    }
    publish("store");
    if (role_.is_reader()) {
        send_notice_(state());
    }
}

void evacuation_synchronizer::apply_peer_state(const object_api::evacuation_state& state) {
    if (evacuated_.adopt(state)) {
        publish("peer");
    }
}

void evacuation_synchronizer::publish(std::string_view source) {
    shared_.relay->balancer.set_evacuated(state().domains, now());
    shared_.metrics.set_evacuated_domains(state().domains.size());
    telemetry::log(telemetry::log_event::evacuations_changed,
                   {{"version", state().version.text()},
                    {"source", std::string(source)},
                    {"count", std::to_string(state().domains.size())},
                    {"failure_domains", join_for_log(state().domains)}});
}

} // namespace rattanbay::daemon::internal
