#include "internal/vm_list_synchronizer.hpp"

#include "internal/clock.hpp"
#include "internal/guarded_loop.hpp"
#include "internal/scope_exit.hpp"
#include "internal/watch_failures.hpp"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace rattanbay::daemon::internal {

namespace {

/// Delay before the next watch after a change. Changes often come in bursts, for example when a service is
/// replaced, and each one would complete every daemon's watch.
constexpr std::chrono::milliseconds watch_delay{200};
/// The same for a daemon that other daemons tell of changes. Its watch finds what these did not tell.
constexpr std::chrono::seconds follower_watch_delay{4};
/// Time by which a watch may lag behind a read.
constexpr std::chrono::milliseconds max_watch_lag{400};
/// Interval of the check for expired entries whose grace period has ended.
constexpr std::chrono::milliseconds expiry_check_interval{250};
/// Time over which the daemons spread the reads of the list after the store came back from a copy.
constexpr std::chrono::milliseconds relisting_spread{300};

} // namespace

vm_list_synchronizer::vm_list_synchronizer(shared_state& shared, control_strand strand,
                                           platform_session& platform, const store_role& role,
                                           update_sender send_update)
    : shared_(shared)
    , strand_(strand)
    , platform_(platform)
    , role_(role)
    , send_update_(std::move(send_update))
    , publisher_(shared)
    , directory_(shared.settings.relay ? shared.settings.relay->relisting_grace_period : base::duration{},
                 shared.settings.relay && shared.settings.relay->cold_excess) {}

void vm_list_synchronizer::start() {
    const std::shared_ptr<vm_list_synchronizer> self = shared_from_this();
    platform_.on_new_era([this]() { begin_era(); });
    start_watch();
    asio::co_spawn(
        strand_,
        [self]() {
            return run_guarded(self->strand_, "remove_expired_vms",
                               [self]() { return self->remove_expired(); });
        },
        asio::detached);
}

void vm_list_synchronizer::begin_era() {
    directory_.begin_era(platform_.era(), now());
    const std::shared_ptr<vm_list_synchronizer> self = shared_from_this();
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

void vm_list_synchronizer::catch_up(const object_api::store_revision& change_version) {
    if (change_version <= directory_.version() || catch_up_in_progress_ || platform_.is_failing()) {
        return;
    }
    catch_up_in_progress_ = true;
    const std::shared_ptr<vm_list_synchronizer> self = shared_from_this();
    asio::co_spawn(
        strand_,
        [self, change_version]() -> asio::awaitable<void> {
            const scope_exit done([self]() { self->catch_up_in_progress_ = false; });
            co_await self->read_missed(change_version);
        },
        asio::detached);
}

void vm_list_synchronizer::start_watch() {
    const std::shared_ptr<vm_list_synchronizer> self = shared_from_this();
    const std::uint64_t generation = ++watch_generation_;
    asio::co_spawn(
        strand_,
        [self, generation]() {
            return run_guarded(self->strand_, "watch_vms",
                               [self, generation]() { return self->watch(generation); });
        },
        asio::detached);
}

asio::awaitable<void> vm_list_synchronizer::read_missed(object_api::store_revision store_version) {
    if (store_version <= directory_.version()) {
        co_return;
    }
    co_await platform_.sleep_for(max_watch_lag);
    if (store_version <= directory_.version() || directory_.next_page_after()) {
        co_return;
    }
    directory_.restart_listing();
    while (directory_.next_page_after()) {
        const object_api::store_revision asked_at = directory_.version();
        const object_api::list_vms request{*directory_.next_page_after()};
        const object_api::answer answer = co_await platform_.call(request);
        const bool is_stale = is_stale_list(answer);
        apply(answer, asked_at);
        if (std::holds_alternative<object_api::failed>(answer)) {
            co_return;
        }
        if (is_stale) {
            co_await platform_.sleep_for(max_watch_lag);
        }
    }
    // The connection of the watch may be silent.
    start_watch();
}

asio::awaitable<void> vm_list_synchronizer::watch(std::uint64_t generation) {
    watch_failures failures;
    while (generation == watch_generation_) {
        const object_api::store_revision asked_at = directory_.version();
        const bool is_reader = role_.is_reader();
        object_api::call request = object_api::watch_vms{asked_at, failures.wait(), !is_reader};
        if (directory_.next_page_after()) {
            request = object_api::list_vms{*directory_.next_page_after()};
        }
        const object_api::answer answer = co_await platform_.call(request);
        const bool usable = !std::holds_alternative<object_api::failed>(answer) && !is_stale_list(answer);
        apply(answer, asked_at);
        failures.record(usable);
        if (failures.last_failed()) {
            co_await platform_.back_off("watch_vms", failures.count(), answer);
        } else if (std::holds_alternative<object_api::vm_changes>(answer)) {
            co_await platform_.sleep_for(is_reader ? base::duration(watch_delay) : follower_watch_delay);
        }
    }
}

asio::awaitable<void> vm_list_synchronizer::remove_expired() {
    while (true) {
        co_await platform_.sleep_for(expiry_check_interval);
        if (directory_.remove_expired(now())) {
            publisher_.publish(directory_.list(), {"expiry", directory_.version()});
        }
    }
}

void vm_list_synchronizer::platform_recovered() {
    directory_.platform_recovered(now());
}

bool vm_list_synchronizer::is_stale_list(const object_api::answer& answer) const {
    const object_api::vm_list* const list = std::get_if<object_api::vm_list>(&answer);
    const object_api::vm_page* const page = std::get_if<object_api::vm_page>(&answer);
    const object_api::history_lost* const lost = std::get_if<object_api::history_lost>(&answer);
    return (list != nullptr && directory_.is_stale(*list)) ||
           (page != nullptr && directory_.is_stale(*page)) ||
           (lost != nullptr && lost->era != 0 && lost->era < directory_.era());
}

void vm_list_synchronizer::apply(const object_api::answer& answer,
                                 const object_api::store_revision& asked_at) {
    const object_api::store_revision before = directory_.version();
    const std::optional<vm_list_source> source = vm_list_source_of(answer, directory_.version());
    if (source) {
        publisher_.record_answer(*source, directory_.version(),
                                 std::holds_alternative<object_api::unchanged>(answer));
    }
    if (const object_api::vm_list* list = std::get_if<object_api::vm_list>(&answer)) {
        directory_.apply(*list, now());
    } else if (const object_api::vm_page* page = std::get_if<object_api::vm_page>(&answer)) {
        directory_.apply(*page, now());
        vm_list_publisher::log_unusable_entries(page->unusable_count);
        if (directory_.next_page_after()) {
            return;
        }
    } else if (const object_api::vm_changes* changes = std::get_if<object_api::vm_changes>(&answer)) {
        directory_.apply(*changes, now());
        vm_list_publisher::log_unusable_entries(changes->unusable_count);
        if (directory_.version().era() != changes->version.era()) {
            return;
        }
    } else if (const object_api::unchanged* unchanged = std::get_if<object_api::unchanged>(&answer)) {
        directory_.advance_to(unchanged->version);
        return;
    } else if (const object_api::history_lost* lost = std::get_if<object_api::history_lost>(&answer)) {
        telemetry::log(telemetry::log_event::history_lost,
                       {{"version", asked_at.text()}, {"era", std::to_string(lost->era)}});
        directory_.lose_history(asked_at, lost->era);
        return;
    } else {
        return;
    }
    const object_api::vm_list list = directory_.list();
    const bool is_changed = list.vms != shared_.vms.read()->vms;
    publisher_.publish(list, *source);
    forward(std::get_if<object_api::vm_changes>(&answer), before, is_changed);
}

void vm_list_synchronizer::forward(const object_api::vm_changes* changes,
                                   const object_api::store_revision& before, bool is_changed) {
    std::optional<object_api::vm_list_update> update =
        updates_.record(directory_, before, changes, is_changed);
    if (update && role_.is_reader()) {
        send_update_(std::move(*update));
    }
}

void vm_list_synchronizer::apply_peer_update(const object_api::vm_list_update& update) {
    const object_api::update_decision decision = object_api::vm_update_tracker::decide(update, directory_);
    if (decision == object_api::update_decision::read_list) {
        catch_up(update.changes.newest_change);
    }
    if (decision != object_api::update_decision::apply) {
        return;
    }
    const object_api::store_revision before = directory_.version();
    directory_.apply(update.changes, now());
    updates_.record(directory_, before, &update.changes, true);
    const vm_list_source source{"peer", update.changes.version};
    publisher_.record_answer(source, before, false);
    publisher_.publish(directory_.list(), source);
}

void vm_list_synchronizer::apply_peer_list(const object_api::vm_list& list) {
    if (!directory_.version().is_unset() || list.version <= shared_.vms.read()->version) {
        return;
    }
    publisher_.publish(list, {"peer", list.version});
}

} // namespace rattanbay::daemon::internal
