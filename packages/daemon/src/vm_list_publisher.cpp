#include "internal/vm_list_publisher.hpp"

#include "internal/clock.hpp"

#include <rattanbay/object_api/vm_list_diff.hpp>

#include <algorithm>
#include <string>
#include <variant>
#include <vector>

namespace rattanbay::daemon::internal {

namespace {

/// Identifiers for a log line, which lists at most `max_logged_vms` of them.
std::string join_for_log(const std::vector<base::vm_id>& ids) {
    constexpr std::size_t max_logged_vms = 16;
    std::string out;
    for (std::size_t n = 0; n < std::min(ids.size(), max_logged_vms); ++n) {
        out += (n > 0 ? " " : "") + ids[n].text();
    }
    return ids.size() > max_logged_vms ? out + " and " + std::to_string(ids.size() - max_logged_vms) + " more"
                                       : out;
}

struct source_visitor {
    object_api::store_revision current_version;

    std::optional<vm_list_source> operator()(const object_api::vm_list& answer) const {
        return vm_list_source{"list", answer.version};
    }

    std::optional<vm_list_source> operator()(const object_api::vm_page& answer) const {
        return vm_list_source{"list", answer.version};
    }

    std::optional<vm_list_source> operator()(const object_api::vm_changes& answer) const {
        return vm_list_source{"watch", answer.version};
    }

    std::optional<vm_list_source> operator()(const object_api::unchanged& answer) const {
        return vm_list_source{"watch", answer.version.is_unset() ? current_version : answer.version};
    }

    template <class Other> std::optional<vm_list_source> operator()(const Other&) const {
        return std::nullopt;
    }
};

} // namespace

std::optional<vm_list_source> vm_list_source_of(const object_api::answer& answer,
                                                const object_api::store_revision& current_version) {
    return std::visit(source_visitor{current_version}, answer);
}

void vm_list_publisher::record_answer(const vm_list_source& source,
                                      const object_api::store_revision& current_version, bool is_unchanged) {
    const bool is_stale = source.version < current_version;
    std::string_view result = is_unchanged ? "unchanged" : "applied";
    if (is_stale) {
        result = "stale";
        telemetry::log(telemetry::log_event::vm_list_answer_stale, {{"call", std::string(source.call)},
                                                                    {"answer_version", source.version.text()},
                                                                    {"version", current_version.text()}});
    }
    shared_.metrics.record_vm_list_answer(source.call, result);
    shared_.metrics.set_vm_list_confirmed(std::max(source.version, current_version).number(),
                                          telemetry::wall_clock_us());
    shared_.vms_confirmed_at.store(now());
}

void vm_list_publisher::log_unusable_entries(std::size_t entries) {
    if (entries > 0) {
        telemetry::log(telemetry::log_event::entries_unusable, {{"entries", std::to_string(entries)}});
    }
}

void vm_list_publisher::publish(const object_api::vm_list& list, const vm_list_source& source) {
    const std::shared_ptr<const object_api::vm_list> previous = shared_.vms.read();
    // Peers and log lines need the era also if the entries are the same in it.
    if (list.vms == previous->vms && list.version.era() == previous->version.era()) {
        return;
    }
    shared_.vms.publish(std::make_shared<object_api::vm_list>(list));
    publish_endpoints();
    std::size_t leaving = 0;
    for (const object_api::vm& row : list.vms) {
        leaving += row.state == object_api::vm_state::leaving ? 1 : 0;
    }
    const object_api::vm_list_diff diff = object_api::vm_list_diff::between(*previous, list);
    telemetry::log(telemetry::log_event::vm_list_changed, {{"version", list.version.text()},
                                                           {"previous_version", previous->version.text()},
                                                           {"answer_version", source.version.text()},
                                                           {"source", std::string(source.call)},
                                                           {"vms", std::to_string(list.vms.size())},
                                                           {"leaving", std::to_string(leaving)},
                                                           {"now_live", join_for_log(diff.live)},
                                                           {"now_leaving", join_for_log(diff.leaving)},
                                                           {"removed", join_for_log(diff.removed)}});
}

void vm_list_publisher::publish_endpoints() {
    if (shared_.relay) {
        shared_.relay->update_endpoints(*shared_.vms.read());
        return;
    }
    const std::shared_ptr<const serving_state> serving = shared_.serving.read();
    if (serving->document) {
        shared_.router.publish(routing::endpoint_table(*shared_.vms.read(), *serving->document));
    }
}

} // namespace rattanbay::daemon::internal
