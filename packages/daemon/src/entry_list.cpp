#include "internal/entry_list.hpp"

#include <nlohmann/json.hpp>

namespace rattanbay::daemon::internal {

http::response entry_list_response(shared_state& shared, const control_plane& control_plane) {
    constexpr int status_ok = 200;
    base::random_source random(shared.next_seed());
    const std::shared_ptr<const member_view> view = shared.members.read();
    nlohmann::ordered_json body;
    body["entries"] = nlohmann::json::array();
    for (const peer::member_record& member : membership::select_entries(view->members, random)) {
        nlohmann::ordered_json row;
        row["address"] = member.caller_address.text();
        row["failure_domain"] = member.failure_domain.text();
        row["key_prefix"] = control_plane.key_prefix_text(member);
        body["entries"].push_back(std::move(row));
    }
    body["max_age_ms"] =
        std::chrono::duration_cast<std::chrono::milliseconds>(shared.settings.entries_max_age).count();
    return http::json_response(status_ok, body.dump());
}

} // namespace rattanbay::daemon::internal
