#include <rattanbay/base/json.hpp>
#include <rattanbay/ctl/daemon_client.hpp>

#include <algorithm>

namespace rattanbay::ctl {

namespace {

using base::error_code;
using nlohmann::json;
using nlohmann::ordered_json;

constexpr int min_success_status = 200;
constexpr int min_redirect_status = 300;

/// Returns a string member of an object, or an empty string if it is absent or of another type.
std::string string_member(const json& object, const std::string& key) {
    const auto it = object.find(key);
    return it != object.end() && it->is_string() ? it->get<std::string>() : std::string();
}

/// Describes an error response by its status and, if present, its problem document.
std::string describe_error_response(const http::response& response) {
    const json problem = base::parse_json<json>(response.body);
    std::string out = "status " + std::to_string(response.status);
    if (problem.is_object()) {
        for (const std::string& key : {std::string("title"), std::string("detail"), std::string("outcome")}) {
            const std::string text = string_member(problem, key);
            out += text.empty() ? "" : (key == "outcome" ? "; outcome " : ", ") + text;
        }
    }
    return out;
}

base::result<ordered_json> parse_object(const base::result<std::string>& body) {
    if (!body) {
        return tl::unexpected<base::error>(body.error());
    }
    ordered_json value = base::parse_json<ordered_json>(*body);
    if (!value.is_object()) {
        return base::fail(error_code::protocol_violation, "the response is not a JSON object");
    }
    return value;
}

base::result<entry_address> parse_entry(const ordered_json& row) {
    const base::result<base::address> address =
        base::address::parse(row.is_object() ? string_member(row, "address") : std::string());
    if (!address) {
        return base::fail(error_code::protocol_violation, "an entry lacks a valid address");
    }
    return entry_address{*address, string_member(row, "failure_domain"), string_member(row, "key_prefix")};
}

} // namespace

daemon_client::daemon_client(command_io& io, base::address address, std::string token)
    : io_(io)
    , address_(address)
    , token_(std::move(token)) {}

base::result<ordered_json> daemon_client::status() {
    return parse_object(call("GET", "/v1/status"));
}

base::result<entry_list> daemon_client::entries() {
    const base::result<ordered_json> body = parse_object(call("GET", "/v1/entries"));
    if (!body) {
        return tl::unexpected<base::error>(body.error());
    }
    entry_list out;
    const auto max_age = body->find("max_age_ms");
    const auto rows = body->find("entries");
    if (rows == body->end() || !rows->is_array() || max_age == body->end() ||
        !max_age->is_number_unsigned()) {
        return base::fail(error_code::protocol_violation, "the response lacks entries or max_age_ms");
    }
    out.max_age_ms = max_age->get<std::uint64_t>();
    for (const ordered_json& row : *rows) {
        base::result<entry_address> entry = parse_entry(row);
        if (!entry) {
            return tl::unexpected<base::error>(entry.error());
        }
        out.entries.push_back(std::move(*entry));
    }
    return out;
}

base::result<ordered_json> daemon_client::drain() {
    const base::result<std::string> body = call("POST", "/v1/drain");
    if (body && body->empty()) {
        return ordered_json::object();
    }
    return parse_object(body);
}

base::result<json> daemon_client::timeline(const std::string& query) {
    const base::result<ordered_json> body = parse_object(call("GET", "/v1/timeline?" + query));
    if (!body) {
        return tl::unexpected<base::error>(body.error());
    }
    const auto it = body->find("events");
    if (it == body->end() || !it->is_array()) {
        return base::fail(error_code::protocol_violation, "the response lacks events");
    }
    return json(*it);
}

base::result<json> daemon_client::run(const sample_request& sample) {
    http::fields extra_fields{
        {"X-Request-Deadline-Ms", std::to_string(sample.deadline / std::chrono::milliseconds(1))}};
    if (!sample.idempotency_key.empty()) {
        extra_fields.add("Idempotency-Key", sample.idempotency_key);
    }
    const json body{{"input", sample.input}, {"stream", false}};
    const base::result<ordered_json> response =
        parse_object(call("POST", "/v1/pipelines/" + sample.pipeline + "/runs", body.dump(),
                          std::move(extra_fields), sample.deadline + std::chrono::seconds(2)));
    if (!response) {
        return tl::unexpected<base::error>(response.error());
    }
    const auto it = response->find("output");
    if (it == response->end()) {
        return base::fail(error_code::protocol_violation, "the response lacks an output");
    }
    return json(*it);
}

base::result<std::string> daemon_client::call(const std::string& method, const std::string& target,
                                              std::string body, http::fields extra_fields,
                                              base::duration head_timeout) {
    http::request message{method, target, std::move(extra_fields), std::move(body)};
    if (!token_.empty()) {
        message.fields.add("Authorization", "Bearer " + token_);
    }
    if (!message.body.empty()) {
        message.fields.add("Content-Type", "application/json");
    }
    http::exchange_limits limits;
    limits.response_header = head_timeout;
    limits.body_read = std::max(limits.body_read, head_timeout);
    const base::result<http::response> response = io_.exchange(address_, message, limits);
    if (!response) {
        return tl::unexpected<base::error>(response.error());
    }
    if (response->status < min_success_status || response->status >= min_redirect_status) {
        return base::fail(error_code::conflict, describe_error_response(*response));
    }
    return response->body;
}

} // namespace rattanbay::ctl
