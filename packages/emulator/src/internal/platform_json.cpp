#include "platform_json.hpp"

#include <nlohmann/json.hpp>

namespace rattanbay::emulator::internal {

namespace {

using json = nlohmann::json;

/// Converts each alternative of an answer to a response.
struct response_builder {
    http::response operator()(const object_api::object& value) const {
        // The value is already JSON text.
        return http::json_response(200, "{\"version\":" + std::to_string(value.version) +
                                            ",\"value\":" + value.value + "}");
    }

    http::response operator()(const object_api::written& value) const {
        return version_response(200, value.version);
    }

    http::response operator()(const object_api::conflict& value) const {
        return version_response(412, value.version);
    }

    http::response operator()(const object_api::deleted&) const { return http::json_response(200, "{}"); }

    http::response operator()(const object_api::not_found&) const {
        return error_response(404, "no such object");
    }

    http::response operator()(const object_api::unchanged&) const { return http::response{204, {}, ""}; }

    http::response operator()(const object_api::object_list& value) const {
        json objects = json::array();
        for (const object_api::object_list::row& row : value.objects) {
            objects.push_back({{"name", row.name}, {"version", row.version}});
        }
        return http::json_response(200, json{{"objects", std::move(objects)}}.dump());
    }

    http::response operator()(const object_api::vm_list& value) const {
        json vms = json::array();
        for (const object_api::vm& row : value.vms) {
            vms.push_back({{"id", row.id.text()},
                           {"service", row.service.text()},
                           {"address", row.address.text()},
                           {"failure_domain", row.failure_domain.text()},
                           {"state", std::string(base::to_name(row.state))}});
        }
        return http::json_response(200,
                                   json{{"version", value.version.number()}, {"vms", std::move(vms)}}.dump());
    }

    http::response operator()(const object_api::failed& value) const {
        return error_response(500, value.reason.message);
    }

    /// The emulated platform always sends the complete list and keeps no change history, so it
    /// never produces the answers below.
    http::response operator()(const object_api::history_lost&) const { return unsupported(); }

    http::response operator()(const object_api::vm_page&) const { return unsupported(); }

    http::response operator()(const object_api::vm_changes&) const { return unsupported(); }

    http::response operator()(const object_api::object_names&) const { return unsupported(); }

    http::response operator()(const object_api::object_name_changes&) const { return unsupported(); }

    http::response operator()(const object_api::on_later_page&) const { return unsupported(); }

private:
    static http::response unsupported() { return error_response(500, "not an answer of this platform"); }

    static http::response version_response(int status, std::uint64_t version) {
        return http::json_response(status, json{{"version", version}}.dump());
    }
};

base::result<object_api::vm> parse_vm(const json& row) {
    for (const char* name : {"id", "service", "address", "failure_domain"}) {
        if (!row.is_object() || !row.contains(name) || !row[name].is_string()) {
            return base::fail(base::error_code::invalid_input,
                              std::string("a VM lacks the text '") + name + "'");
        }
    }
    const base::result<base::address> address = base::address::parse(row["address"].get<std::string>());
    if (!address) {
        return tl::unexpected<base::error>(address.error());
    }
    const json state = row.value("state", json("live"));
    const std::optional<object_api::vm_state> known =
        state.is_string() ? base::from_name<object_api::vm_state>(state.get<std::string>()) : std::nullopt;
    if (!known) {
        return base::fail(base::error_code::invalid_input,
                          "'state' of a VM has to be \"live\" or \"leaving\"");
    }
    return object_api::vm{base::vm_id(row["id"].get<std::string>()),
                          base::service_name(row["service"].get<std::string>()),
                          *address,
                          base::failure_domain(row["failure_domain"].get<std::string>()),
                          *known,
                          0};
}

} // namespace

http::response to_response(const object_api::answer& value) {
    return std::visit(response_builder{}, value);
}

http::response error_response(int status, std::string_view message) {
    return http::json_response(status, json{{"error", std::string(message)}}.dump());
}

base::result<std::vector<object_api::vm>> parse_vms(std::string_view text) {
    const json document = json::parse(text, nullptr, false);
    if (!document.is_object() || !document.contains("vms") || !document["vms"].is_array()) {
        return base::fail(base::error_code::invalid_input,
                          "the body has to be an object with the array 'vms'");
    }
    std::vector<object_api::vm> vms;
    for (const json& row : document["vms"]) {
        base::result<object_api::vm> parsed = parse_vm(row);
        if (!parsed) {
            return tl::unexpected<base::error>(parsed.error());
        }
        vms.push_back(std::move(*parsed));
    }
    return vms;
}

base::result<platform_fault> parse_platform_fault(std::string_view text) {
    const json document = json::parse(text, nullptr, false);
    const json mode = document.is_object() ? document.value("mode", json()) : json();
    const std::optional<platform_fault_mode> known =
        mode.is_string() ? base::from_name<platform_fault_mode>(mode.get<std::string>()) : std::nullopt;
    if (!known) {
        return base::fail(base::error_code::invalid_input,
                          "'mode' has to be none, down, slow, lose_answers, stale or silent_watches");
    }
    const json delay = document.value("delay_ms", json(0U));
    if (!delay.is_number_unsigned()) {
        return base::fail(base::error_code::invalid_input, "'delay_ms' has to be a whole number from 0");
    }
    return platform_fault{*known, base::from_milliseconds(delay.get<std::int64_t>())};
}

} // namespace rattanbay::emulator::internal
