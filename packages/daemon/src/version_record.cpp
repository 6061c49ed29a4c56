#include "internal/version_record.hpp"

#include "internal/clock.hpp"
#include "internal/guarded_loop.hpp"

#include <rattanbay/membership.hpp>
#include <rattanbay/telemetry.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace rattanbay::daemon::internal {

namespace {

/// Name of the role for the rendezvous hashing.
const base::service_name writer_role("endpoint versions");
/// Interval at which the record is compared with the active versions.
constexpr std::chrono::milliseconds check_interval{250};
/// Interval at which the writer lists the objects: a daemon with another view of the members may have written
/// or removed some.
constexpr std::chrono::seconds list_interval{10};
/// Delay of a check above which the process is considered to have been paused.
constexpr std::chrono::seconds pause_threshold{2};

/// Logs the effect of a write or a deletion that took place.
struct change_logger {
    const object_api::answer& answer;

    void operator()(const object_api::write_object& request) const {
        const bool is_created = std::holds_alternative<object_api::written>(answer);
        const std::optional<recorded_version> row = recorded_version::parse(request.key.name);
        if (row && (is_created || std::holds_alternative<object_api::conflict>(answer))) {
            telemetry::log(telemetry::log_event::version_recorded,
                           {{"service", row->service.text()},
                            {"version", row->version},
                            {"result", is_created ? "created" : "was there"}});
        }
    }

    void operator()(const object_api::delete_object& request) const {
        const std::optional<recorded_version> row = recorded_version::parse(request.key.name);
        if (row && std::holds_alternative<object_api::deleted>(answer)) {
            telemetry::log(telemetry::log_event::version_record_removed,
                           {{"service", row->service.text()}, {"version", row->version}});
        }
    }

    template <class Other> void operator()(const Other&) const {}
};

/// Tells the plan the answer to a write or a deletion.
struct answer_recorder {
    version_record_plan& plan;
    const object_api::answer& answer;

    void operator()(const object_api::write_object& request) const { plan.record(request, answer); }

    void operator()(const object_api::delete_object& request) const { plan.record(request, answer); }

    template <class Other> void operator()(const Other&) const {}
};

} // namespace

version_record::version_record(shared_state& shared, control_strand strand, platform_session& platform,
                               handlers version_handlers)
    : shared_(shared)
    , strand_(strand)
    , platform_(platform)
    , handlers_(std::move(version_handlers)) {}

void version_record::start() {
    const std::shared_ptr<version_record> self = shared_from_this();
    platform_.on_new_era([this]() { plan_.forget(); });
    asio::co_spawn(
        strand_,
        [self]() { return run_guarded(self->strand_, "record_versions", [self]() { return self->run(); }); },
        asio::detached);
}

asio::awaitable<void> version_record::run() {
    co_await load();
    while (true) {
        const base::time_point start = now();
        co_await platform_.sleep_for(check_interval);
        const bool is_paused = now() - start > check_interval + pause_threshold;
        if (is_paused || is_cut_off()) {
            // Versions may have come and gone that this daemon has not heard of.
            plan_.forget();
            shared_.relay->knows_former_versions.store(false);
        }
        if (is_cut_off()) {
            continue;
        }
        co_await load();
        if (is_writer()) {
            co_await update();
        } else {
            plan_.require_list();
        }
    }
}

asio::awaitable<void> version_record::load() {
    while (!shared_.relay->knows_former_versions.load()) {
        const std::optional<object_api::answer> failure = co_await list();
        if (failure) {
            co_await platform_.back_off("list_versions", ++failures_, *failure);
            continue;
        }
        failures_ = 0;
        shared_.relay->knows_former_versions.store(true);
    }
}

asio::awaitable<void> version_record::update() {
    if (is_list_due()) {
        const std::optional<object_api::answer> failure = co_await list();
        if (failure) {
            co_await platform_.back_off("list_versions", ++failures_, *failure);
            co_return;
        }
        failures_ = 0;
    }
    // GCC 12 makes the argument of a call awaited behind && even if the left side is false.
    bool is_current = is_writer();
    while (is_current) {
        const std::optional<version_record_plan::version_sets> active = handlers_.active_versions();
        std::optional<object_api::call> next = active ? plan_.next(*active) : std::nullopt;
        if (!next) {
            co_return;
        }
        const bool is_written = co_await write(std::move(*next));
        is_current = is_written && is_writer();
    }
}

asio::awaitable<bool> version_record::write(object_api::call request) {
    const std::uint64_t era = platform_.era();
    const object_api::answer answer = co_await platform_.call(request);
    if (std::holds_alternative<object_api::failed>(answer)) {
        // The call may have taken effect.
        plan_.require_list();
        co_await platform_.back_off("record_version", ++failures_, answer);
        co_return false;
    }
    failures_ = 0;
    std::visit(change_logger{answer}, request);
    if (platform_.era() != era) {
        // What the plan knew is of the former era.
        co_return false;
    }
    std::visit(answer_recorder{plan_, answer}, request);
    co_return !plan_.needs_list();
}

asio::awaitable<std::optional<object_api::answer>> version_record::list() {
    std::vector<object_api::object_list::row> rows;
    object_api::list_objects request{std::string(version_kind)};
    std::optional<std::string> next_page = std::string();
    std::uint64_t era = platform_.era();
    while (next_page) {
        request.after = *next_page;
        object_api::answer answer = co_await platform_.call(request);
        const object_api::object_list* const page = std::get_if<object_api::object_list>(&answer);
        if (page == nullptr) {
            co_return std::optional<object_api::answer>(std::move(answer));
        }
        if (platform_.era() != era) {
            // Pages of two eras show no state that the store ever had.
            const bool is_first = request.after.empty();
            era = platform_.era();
            if (!is_first) {
                rows.clear();
                next_page = std::string();
                continue;
            }
        }
        rows.insert(rows.end(), page->objects.begin(), page->objects.end());
        next_page = page->next_after;
    }
    listed_at_ = now();
    for (const recorded_version& row : plan_.set_listed(rows)) {
        handlers_.on_recorded(row.service, row.version);
    }
    co_return std::nullopt;
}

bool version_record::is_cut_off() const {
    return shared_.isolated.load() || shared_.verifying.load();
}

bool version_record::is_writer() const {
    if (is_cut_off()) {
        return false;
    }
    const std::vector<peer::member_record> writer =
        membership::select_schedulers(shared_.members.read()->members, writer_role, 1);
    return writer.empty() || writer.front().id == shared_.id;
}

bool version_record::is_list_due() const {
    return plan_.needs_list() || now() - listed_at_ >= list_interval;
}

} // namespace rattanbay::daemon::internal
