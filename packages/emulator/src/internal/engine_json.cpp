#include "engine_json.hpp"

#include <nlohmann/json.hpp>

namespace rattanbay::emulator::internal {

using json = nlohmann::json;

namespace {

constexpr std::uint64_t default_max_tokens = 16;

/// Returns a member of an object, or null.
json member(const json& document, const char* name) {
    return document.is_object() ? document.value(name, json()) : json();
}

} // namespace

base::result<completion_call> parse_completion(std::string_view text) {
    const json document = json::parse(text, nullptr, false);
    if (!document.is_object() || !document.contains("prompt")) {
        return base::fail(base::error_code::invalid_input, "the body has to be an object with 'prompt'");
    }
    const json max_tokens = member(document, "max_tokens");
    const json seed = member(document, "seed");
    const json priority = member(document, "priority");
    const json stream = member(document, "stream");
    const json model = member(document, "model");
    const bool valid = (max_tokens.is_null() || max_tokens.is_number_unsigned()) &&
                       (seed.is_null() || seed.is_number_unsigned()) &&
                       (priority.is_null() || priority.is_number_integer()) &&
                       (stream.is_null() || stream.is_boolean()) && (model.is_null() || model.is_string());
    if (!valid) {
        return base::fail(base::error_code::invalid_input,
                          "'max_tokens' and 'seed' have to be whole numbers from 0, 'priority' a whole "
                          "number, 'stream' true or false, 'model' a string");
    }
    completion_call call;
    call.request.prompt = document["prompt"];
    call.request.max_tokens = max_tokens.is_null() ? default_max_tokens : max_tokens.get<std::uint64_t>();
    call.request.priority = priority.is_null() ? 0 : priority.get<int>();
    call.seed = seed.is_null() ? std::nullopt : std::optional(seed.get<std::uint64_t>());
    call.stream = stream.is_boolean() && stream.get<bool>();
    call.model = model.is_null() ? std::string() : model.get<std::string>();
    return call;
}

base::result<std::uint64_t> parse_after(std::string_view text) {
    const json after = member(json::parse(text, nullptr, false), "after");
    if (!after.is_number_unsigned()) {
        return base::fail(base::error_code::invalid_input, "'after' has to be a whole number from 0");
    }
    return after.get<std::uint64_t>();
}

base::result<accepted_order> parse_order(std::string_view text) {
    const json document = json::parse(text, nullptr, false);
    const json fence = member(document, "fence");
    const json action = member(document, "action");
    if (!fence.is_number_unsigned() || !action.is_string()) {
        return base::fail(base::error_code::invalid_input,
                          "'fence' has to be a whole number from 0 and 'action' a string");
    }
    return accepted_order{fence.get<std::uint64_t>(), action.get<std::string>(), document.dump()};
}

std::string token_event(const std::string& stream, const generated_token& token) {
    const json choice{
        {"index", 0}, {"text", token.text}, {"finish_reason", token.last ? json("length") : json(nullptr)}};
    const json event{{"id", stream},
                     {"object", "text_completion"},
                     {"index_token", token.index},
                     {"choices", json::array({choice})}};
    return "data: " + event.dump() + "\n\n";
}

http::response completion_response(const std::string& stream, const std::string& model,
                                   const std::string& text, std::uint64_t tokens) {
    const json choice{{"index", 0}, {"text", text}, {"finish_reason", "length"}};
    const json body{{"id", stream},
                    {"object", "text_completion"},
                    {"model", model},
                    {"choices", json::array({choice})},
                    {"usage", {{"completion_tokens", tokens}}}};
    return http::json_response(200, body.dump());
}

http::response orders_response(const order_log& log) {
    json rows = json::array();
    for (const accepted_order& row : log.orders()) {
        rows.push_back({{"fence", row.fence}, {"action", row.action}});
    }
    const json body{{"fence", log.highest_fence()}, {"orders", std::move(rows)}};
    return http::json_response(200, body.dump());
}

} // namespace rattanbay::emulator::internal
