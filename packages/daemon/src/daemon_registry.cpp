#include "internal/daemon_registry.hpp"

#include "internal/guarded_loop.hpp"
#include "internal/scope_exit.hpp"

#include <rattanbay/telemetry.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace rattanbay::daemon::internal {

namespace {

/// Kind of the platform's objects whose names contain the peer addresses of daemons.
constexpr std::string_view registry_kind = "entry-vms";
/// Interval of reading these objects, and the shorter one of a daemon that knows no other daemon.
constexpr std::chrono::seconds read_interval{60};
constexpr std::chrono::seconds lone_read_interval{3};
/// Time over which the daemons spread their writes after the store came back from a copy: 91 daemons then
/// make a quarter of the 400 writes per second that a small deployment may make.
constexpr std::chrono::seconds rewrite_spread{1};

/// Name of a daemon's object: its address with dashes, which every platform allows in names.
std::string registry_name(const base::address& address) {
    std::string out = address.text();
    std::ranges::replace(out, '.', '-');
    std::ranges::replace(out, ':', '-');
    return out;
}

std::optional<base::address> parse_registry_name(std::string name) {
    const std::size_t port = name.rfind('-');
    if (port == std::string::npos) {
        return std::nullopt;
    }
    std::ranges::replace(name, '-', '.');
    name[port] = ':';
    const base::result<base::address> parsed = base::address::parse(name);
    return parsed ? std::optional<base::address>(*parsed) : std::nullopt;
}

} // namespace

daemon_registry::daemon_registry(shared_state& shared, control_strand strand, platform_session& platform,
                                 discovery_handler on_discovered)
    : shared_(shared)
    , strand_(strand)
    , platform_(platform)
    , on_discovered_(std::move(on_discovered)) {}

void daemon_registry::start() {
    const std::shared_ptr<daemon_registry> self = shared_from_this();
    platform_.on_new_era([this]() { register_again(); });
    asio::co_spawn(
        strand_,
        [self]() { return run_guarded(self->strand_, "register_daemon", [self]() { return self->run(); }); },
        asio::detached);
}

asio::awaitable<void> daemon_registry::register_self() {
    const object_api::object_key key{std::string(registry_kind),
                                     registry_name(shared_.settings.peer_address)};
    registering_ = true;
    const scope_exit done([this]() { registering_ = false; });
    unsigned failures = 0;
    std::optional<std::uint64_t> written_era;
    // The store may come back from a copy again before this is done.
    while (written_era != platform_.era()) {
        const object_api::write_object request{key, std::nullopt, "{}"};
        const object_api::answer answer = co_await platform_.call(request);
        if (std::holds_alternative<object_api::failed>(answer)) {
            co_await platform_.back_off("register", ++failures, answer);
            continue;
        }
        written_era = platform_.era();
        failures = 0;
        const bool is_created = std::holds_alternative<object_api::written>(answer);
        telemetry::log(
            telemetry::log_event::registry_entry_written,
            {{"era", std::to_string(*written_era)}, {"result", is_created ? "created" : "was there"}});
    }
}

void daemon_registry::register_again() {
    if (registering_) {
        return;
    }
    registering_ = true;
    const std::shared_ptr<daemon_registry> self = shared_from_this();
    asio::co_spawn(
        strand_,
        [self]() -> asio::awaitable<void> {
            co_await self->platform_.sleep_below(rewrite_spread);
            co_await self->register_self();
        },
        asio::detached);
}

asio::awaitable<void> daemon_registry::discover() {
    // An entry that is missed leads to a daemon that others know.
    object_api::list_objects request{std::string(registry_kind), true};
    std::optional<std::string> next_page = std::string();
    while (next_page) {
        request.after = *next_page;
        const object_api::answer answer = co_await platform_.call(request);
        const object_api::object_list* const page = std::get_if<object_api::object_list>(&answer);
        if (page == nullptr) {
            co_return;
        }
        for (const object_api::object_list::row& row : page->objects) {
            const std::optional<base::address> other = parse_registry_name(row.name);
            if (other && !is_member(*other)) {
                co_await on_discovered_(*other);
            }
        }
        next_page = page->next_after;
    }
}

asio::awaitable<void> daemon_registry::run() {
    co_await register_self();
    while (true) {
        co_await discover();
        const bool is_alone = shared_.members.read()->members.size() <= 1;
        const base::duration interval = is_alone ? lone_read_interval : read_interval;
        co_await platform_.sleep_about(interval);
    }
}

bool daemon_registry::is_member(const base::address& peer_address) const {
    const std::shared_ptr<const member_view> view = shared_.members.read();
    return std::ranges::any_of(view->members, [&peer_address](const peer::member_record& member) {
        return member.peer_address == peer_address;
    });
}

} // namespace rattanbay::daemon::internal
