#include "internal/operator_handler.hpp"

#include "internal/entry_list.hpp"

#include <rattanbay/caller/problem_document.hpp>

#include <nlohmann/json.hpp>

#include <charconv>
#include <limits>

namespace rattanbay::daemon::internal {

namespace {

using json = nlohmann::ordered_json;

constexpr int status_ok = 200;
constexpr int status_accepted = 202;

json member_to_json(const peer::member_record& member) {
    json row;
    row["vm"] = member.vm.text();
    row["incarnation"] = member.id.text();
    row["status"] = base::to_name(member.status);
    row["draining"] = member.draining;
    row["failure_domain"] = member.failure_domain.text();
    row["caller_address"] = member.caller_address.text();
    row["revision"] = member.revision;
    row["requests"] = member.load;
    return row;
}

std::optional<std::int64_t> parse_integer(const std::optional<std::string>& text) {
    std::int64_t value = 0;
    if (!text || std::from_chars(text->data(), text->data() + text->size(), value).ec != std::errc()) {
        return std::nullopt;
    }
    return value;
}

http::response not_found(const std::string& detail) {
    const base::problem problem{base::problem_kind::unknown_pipeline, base::outcome::not_run, detail,
                                std::nullopt};
    return caller::problem_response(problem, {});
}

} // namespace

operator_handler::operator_handler(shared_state& shared, std::shared_ptr<control_plane> control_plane,
                                   std::function<void()> begin_drain)
    : shared_(shared)
    , control_plane_(std::move(control_plane))
    , begin_drain_(std::move(begin_drain)) {}

asio::awaitable<void> operator_handler::handle(const http::request& message, http::responder& responder) {
    http::response response = route(message);
    co_await responder.send(std::move(response));
}

http::response operator_handler::route(const http::request& message) {
    const std::string_view path = http::target_path(message.target);
    if (path == "/v1/status" && message.method == "GET") {
        return status();
    }
    if (path == "/v1/entries" && message.method == "GET") {
        return entry_list_response(shared_, *control_plane_);
    }
    if (path == "/v1/timeline" && message.method == "GET") {
        return timeline(message.target);
    }
    if (path == "/metrics" && message.method == "GET") {
        http::response response;
        response.status = status_ok;
        response.fields.add("Content-Type", "text/plain; version=0.0.4");
        response.body = shared_.metrics.to_prometheus_text();
        return response;
    }
    if (path == "/v1/drain" && message.method == "POST") {
        begin_drain_();
        return http::json_response(status_accepted, R"({"draining":true})");
    }
    return not_found(
        "the operator address serves /v1/status, /v1/entries, /v1/timeline, /metrics and POST /v1/drain");
}

http::response operator_handler::status() const {
    const std::shared_ptr<const serving_state> serving = shared_.serving.read();
    const std::shared_ptr<const member_view> view = shared_.members.read();
    json body;
    body["vm"] = shared_.settings.vm.text();
    body["incarnation"] = shared_.id.text();
    body["environment"] = shared_.settings.environment;
    body["failure_domain"] = shared_.settings.failure_domain.text();
    body["revision"] = serving->document ? serving->document->revision : 0;
    body["highest_revision"] = shared_.highest_revision.load();
    body["sha256"] = serving->document ? serving->document->sha256 : "";
    body["ready"] = !shared_.refusal_reason().has_value();
    body["reason"] = shared_.refusal_reason().value_or("");
    body["draining"] = shared_.draining.load();
    body["requests"] = shared_.requests_in_progress.load();
    const std::shared_ptr<const object_api::vm_list> vms = shared_.vms.read();
    body["vm_list_version"] = vms->version.number();
    body["vm_list_era"] = vms->version.era();
    body["members"] = json::array();
    for (const peer::member_record& member : view->members) {
        body["members"].push_back(member_to_json(member));
    }
    return http::json_response(status_ok, body.dump());
}

http::response operator_handler::timeline(const std::string& target) const {
    constexpr std::int64_t us_per_ms = 1000;
    const std::optional<std::string> request = http::query_parameter(target, "request");
    const std::optional<std::int64_t> since_ms = parse_integer(http::query_parameter(target, "since_ms"));
    const std::optional<std::int64_t> until_ms = parse_integer(http::query_parameter(target, "until_ms"));
    if (!request && !since_ms) {
        return not_found("specify ?request=ID, or ?since_ms= and optionally until_ms=");
    }
    const std::int64_t end_us = until_ms ? *until_ms * us_per_ms : std::numeric_limits<std::int64_t>::max();
    const std::vector<telemetry::timeline_entry> entries =
        request ? shared_.timeline.find_by_request(base::request_id(*request))
                : shared_.timeline.find_by_time(*since_ms * us_per_ms, end_us);
    json events = json::array();
    for (const telemetry::timeline_entry& entry : entries) {
        json row;
        row["wall_us"] = entry.wall_us;
        row["vm"] = shared_.settings.vm.text();
        row["incarnation"] = shared_.id.text();
        row["request"] = entry.request.text();
        row["event"] = base::to_name(entry.event);
        row["fields"] = json::object();
        for (const std::pair<std::string, std::string>& field : entry.fields) {
            row["fields"][field.first] = field.second;
        }
        events.push_back(std::move(row));
    }
    const json body{{"events", std::move(events)}};
    return http::json_response(status_ok, body.dump(-1, ' ', false, json::error_handler_t::replace));
}

} // namespace rattanbay::daemon::internal
