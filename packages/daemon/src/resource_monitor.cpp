#include "internal/resource_monitor.hpp"

#include "internal/clock.hpp"

namespace rattanbay::daemon::internal {

namespace {

constexpr std::chrono::seconds refresh_interval{1};

template <class Use> telemetry::event_fields used_amounts(const auto& budget) {
    telemetry::event_fields out;
    for (const base::enum_name<Use>& row : base::enum_names<Use>::table) {
        out.emplace_back(std::string(row.name), std::to_string(budget.used(row.value)));
    }
    return out;
}

} // namespace

void resource_monitor::refresh() {
    const base::time_point time = now();
    if (time - last_refresh_ < refresh_interval) {
        return;
    }
    last_refresh_ = time;
    shared_.endpoint_pool.close_expired();
    if (shared_.relay) {
        shared_.relay->pool.close_expired();
    }
    const daemon_resources& resources = *shared_.resources;
    for (const base::enum_name<http::memory_use>& row : base::enum_names<http::memory_use>::table) {
        shared_.metrics.set_held_bytes(row.name, resources.memory.used(row.value));
    }
    for (const base::enum_name<http::descriptor_use>& row : base::enum_names<http::descriptor_use>::table) {
        shared_.metrics.set_connections(row.name, resources.descriptors.used(row.value));
    }
    log_shortage();
}

void resource_monitor::log_shortage() {
    const daemon_resources& resources = *shared_.resources;
    const std::uint64_t rejections = resources.rejections.load();
    if (rejections > logged_rejections_) {
        shared_.metrics.add_resource_rejections(rejections - logged_rejections_);
        telemetry::event_fields fields{{"rejected", std::to_string(rejections - logged_rejections_)}};
        for (const auto& [name, bytes] : used_amounts<http::memory_use>(resources.memory)) {
            fields.emplace_back(name + "_bytes", bytes);
        }
        fields.emplace_back("max_bytes", std::to_string(resources.memory.max_amount()));
        for (const auto& [name, count] : used_amounts<http::descriptor_use>(resources.descriptors)) {
            fields.emplace_back(name + "_connections", count);
        }
        fields.emplace_back("max_connections", std::to_string(resources.descriptors.max_descriptors()));
        telemetry::log(telemetry::log_event::resources_exhausted, fields);
        logged_rejections_ = rejections;
    }
    const std::uint64_t closed = resources.closed_idle.load();
    if (closed > logged_closed_) {
        telemetry::log(telemetry::log_event::idle_connections_closed,
                       {{"count", std::to_string(closed - logged_closed_)}});
        logged_closed_ = closed;
    }
}

} // namespace rattanbay::daemon::internal
