#include <rattanbay/base/json.hpp>
#include <rattanbay/object_api/http_mapping.hpp>

#include <nlohmann/json.hpp>

#include <chrono>

namespace rattanbay::object_api {

namespace {

using json = nlohmann::json;

constexpr int status_ok = 200;
constexpr int status_no_content = 204;
constexpr int status_not_found = 404;
constexpr int status_precondition_failed = 412;

std::string object_path(std::string_view root, const object_key& key) {
    return std::string(root) + key.kind + "/" + http::percent_encode(key.name);
}

std::string watch_query(const store_revision& after, base::duration wait) {
    const std::int64_t milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    return "?after=" + std::to_string(after.number()) + "&wait_ms=" + std::to_string(milliseconds);
}

struct request_builder {
    http_call operator()(const read_object& call) const {
        return {"read", {"GET", object_path("/v1/objects/", call.key), {}, ""}};
    }

    http_call operator()(const write_object& call) const {
        http::request message{"PUT", object_path("/v1/objects/", call.key), {}, call.value};
        message.fields.add("Content-Type", "application/json");
        if (call.expected_version) {
            message.fields.add("If-Match", std::to_string(*call.expected_version));
        } else {
            message.fields.add("If-None-Match", "*");
        }
        return {"write", std::move(message), {}, false};
    }

    http_call operator()(const delete_object& call) const {
        http::request message{"DELETE", object_path("/v1/objects/", call.key), {}, ""};
        message.fields.add("If-Match", std::to_string(call.expected_version));
        return {"delete", std::move(message), {}, false};
    }

    http_call operator()(const list_objects& call) const {
        return {"list", {"GET", "/v1/objects/" + call.kind, {}, ""}};
    }

    http_call operator()(const watch_object& call) const {
        const std::string target = object_path("/v1/watch/", call.key) + watch_query(call.after, call.wait);
        return {"watch", {"GET", target, {}, ""}, call.wait};
    }

    http_call operator()(const list_vms&) const {
        return {"list_vms", {"GET", "/v1/vms" + watch_query({}, {}), {}, ""}};
    }

    http_call operator()(const watch_vms& call) const {
        return {"watch_vms", {"GET", "/v1/vms" + watch_query(call.after, call.wait), {}, ""}, call.wait};
    }

    http_call operator()(const watch_names& call) const {
        return {"list", {"GET", "/v1/objects/" + call.kind, {}, ""}};
    }
};

// The getters below throw json::exception if a member is missing or has the wrong type. They use get_ref
// because get<T>() converts negative numbers and fractions to unsigned numbers, and iteration treats null as
// an empty array.

std::uint64_t version_of(const json& body) {
    return body.at("version").get_ref<const json::number_unsigned_t&>();
}

const json::array_t& array_of(const json& body, const char* name) {
    return body.at(name).get_ref<const json::array_t&>();
}

const std::string& string_of(const json& body, const char* name) {
    return body.at(name).get_ref<const std::string&>();
}

vm_list parse_vm_list(const json& body) {
    vm_list list;
    list.version = store_revision(0, version_of(body));
    for (const json& row : array_of(body, "vms")) {
        const base::result<base::address> address = base::address::parse(string_of(row, "address"));
        const std::optional<vm_state> state = base::from_name<vm_state>(string_of(row, "state"));
        // Unusable entries are skipped; they must not invalidate the others.
        if (address && state) {
            list.vms.push_back(vm{base::vm_id(string_of(row, "id")),
                                  base::service_name(string_of(row, "service")), *address,
                                  base::failure_domain(string_of(row, "failure_domain")), *state});
        }
    }
    return list;
}

object_list parse_object_list(const json& body) {
    object_list list;
    for (const json& row : array_of(body, "objects")) {
        list.objects.push_back({string_of(row, "name"), version_of(row)});
    }
    return list;
}

object parse_object(const json& body) {
    return {version_of(body), body.at("value").dump(), {}, {}};
}

/// Decodes the body of a response with status 200.
struct success_parser {
    const json& body;

    answer operator()(const read_object&) const { return parse_object(body); }

    answer operator()(const write_object&) const { return written{version_of(body)}; }

    answer operator()(const delete_object&) const { return deleted{}; }

    answer operator()(const list_objects&) const { return parse_object_list(body); }

    answer operator()(const watch_object&) const {
        object out = parse_object(body);
        out.next_watch = store_revision(0, out.version);
        return out;
    }

    answer operator()(const list_vms&) const { return parse_vm_list(body); }

    answer operator()(const watch_vms&) const { return parse_vm_list(body); }

    answer operator()(const watch_names&) const {
        object_names out;
        for (const object_list::row& row : parse_object_list(body).objects) {
            out.names.push_back(row.name);
        }
        return out;
    }
};

template <class... Kinds> bool is_one_of(const call& request) {
    return (std::holds_alternative<Kinds>(request) || ...);
}

answer parse_response(const call& request, const http::response& response) {
    const bool conditional = is_one_of<write_object, delete_object>(request);
    if (response.status == status_no_content && is_one_of<watch_object, watch_vms>(request)) {
        return unchanged{};
    }
    if (response.status == status_not_found && (conditional || is_one_of<read_object>(request))) {
        return not_found{};
    }
    const bool is_conflict = response.status == status_precondition_failed && conditional;
    if (response.status != status_ok && !is_conflict) {
        return failed{base::error{base::error_code::unavailable,
                                  "the platform answered with status " + std::to_string(response.status)}};
    }
    const json body = response.body.empty() ? json::object() : base::parse_json<json>(response.body);
    if (body.is_discarded()) {
        return failed{base::error{base::error_code::protocol_violation,
                                  "the platform's answer is not JSON or is nested too deeply"}};
    }
    if (is_conflict) {
        return conflict{version_of(body)};
    }
    return std::visit(success_parser{body}, request);
}

} // namespace

http_call object_protocol::to_http(const call& request) const {
    return object_api::to_http(request);
}

std::uint64_t object_protocol::era(const http::response&) const {
    return 0;
}

answer object_protocol::to_answer(const call& request, const base::result<http::response>& response) const {
    return object_api::to_answer(request, response);
}

http_call to_http(const call& request) {
    return std::visit(request_builder{}, request);
}

answer to_answer(const call& request, const base::result<http::response>& response) {
    if (!response) {
        return failed{response.error()};
    }
    try {
        return parse_response(request, *response);
    } catch (const json::exception& error) {
        return failed{base::error{base::error_code::protocol_violation,
                                  std::string("malformed answer from the platform: ") + error.what()}};
    }
}

} // namespace rattanbay::object_api
