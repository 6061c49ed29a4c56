#include "endpoint_json.hpp"

#include <nlohmann/json.hpp>

namespace rattanbay::emulator::internal {

using json = nlohmann::json;

http::response endpoint_error_response(int status, std::string_view message) {
    return http::json_response(status, json{{"error", std::string(message)}}.dump());
}

http::response load_report_response(const load_sample& sample, base::time_point now) {
    const json body{{"running", sample.running},
                    {"waiting", sample.waiting},
                    {"as_of_ms_ago", base::to_milliseconds(now - sample.at)}};
    return http::json_response(200, body.dump());
}

base::result<endpoint_fault> parse_endpoint_fault(std::string_view text) {
    const json document = json::parse(text, nullptr, false);
    const json mode = document.is_object() ? document.value("mode", json()) : json();
    const std::optional<endpoint_fault_mode> known =
        mode.is_string() ? base::from_name<endpoint_fault_mode>(mode.get<std::string>()) : std::nullopt;
    if (!known) {
        return base::fail(base::error_code::invalid_input,
                          "'mode' has to be none, slow, error, silent, cut, wrong_length or late");
    }
    const json delay = document.value("delay_ms", json(0U));
    const json probability = document.value("probability", json(1.0));
    if (!delay.is_number_unsigned() || !probability.is_number()) {
        return base::fail(base::error_code::invalid_input,
                          "'delay_ms' has to be a whole number from 0 and 'probability' a number");
    }
    return endpoint_fault{*known, base::from_milliseconds(delay.get<std::int64_t>()),
                          probability.get<double>()};
}

base::result<bool> parse_leaving(std::string_view text) {
    const json document = json::parse(text, nullptr, false);
    const json leaving = document.is_object() ? document.value("leaving", json()) : json();
    if (!leaving.is_boolean()) {
        return base::fail(base::error_code::invalid_input, "'leaving' has to be true or false");
    }
    return leaving.get<bool>();
}

base::result<json> parse_input(std::string_view text) {
    json document = json::parse(text, nullptr, false);
    if (!document.is_object() || !document.contains("input")) {
        return base::fail(base::error_code::invalid_input, "the body has to be an object with 'input'");
    }
    return std::move(document["input"]);
}

} // namespace rattanbay::emulator::internal
