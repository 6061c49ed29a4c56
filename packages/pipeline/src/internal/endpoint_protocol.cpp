#include "internal/endpoint_protocol.hpp"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace rattanbay::pipeline::internal {

namespace {

using nlohmann::json;

constexpr int max_json_depth = 200;
constexpr std::size_t max_stream_id_length = 128;

/// Whether brackets outside strings are nested at most `max_json_depth` deep.
bool is_within_json_depth(std::string_view text) {
    int depth = 0;
    bool quoted = false;
    for (std::size_t n = 0; n < text.size(); ++n) {
        const char it = text[n];
        if (quoted) {
            n += it == '\\' ? 1 : 0;
            quoted = it != '"';
        } else if (it == '"') {
            quoted = true;
        } else if (it == '[' || it == '{') {
            if (++depth > max_json_depth) {
                return false;
            }
        } else if (it == ']' || it == '}') {
            --depth;
        }
    }
    return true;
}

std::string dump(const json& value) {
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

/// Converts JSON input to a prompt: the value of a string, the JSON text of any other value.
std::string to_prompt(const std::string& input) {
    const json value = json::parse(input);
    return value.is_string() ? value.get<std::string>() : input;
}

base::result<stage_output> missing_member_error(const char* member) {
    return base::fail(base::error_code::protocol_violation,
                      std::string("the response has no member ") + member);
}

base::result<stage_output> parse_completion(const json& answer) {
    const json::json_pointer text("/choices/0/text");
    if (!answer.contains(text) || !answer[text].is_string()) {
        return missing_member_error("choices[0].text");
    }
    const json::json_pointer usage("/usage/completion_tokens");
    const bool has_token_count = answer.contains(usage) && answer[usage].is_number_unsigned();
    return stage_output{dump(answer[text]), has_token_count ? answer[usage].get<std::uint64_t>() : 0};
}

} // namespace

bool is_valid_json(std::string_view text) {
    return is_within_json_depth(text) && json::accept(text);
}

endpoint_call make_stage_call(config::service_kind kind, const request& req, const std::string& input,
                              bool streamed) {
    if (kind != config::service_kind::model_engine) {
        return {"/v1/call", R"({"input":)" + input + "}"};
    }
    json body{{"prompt", to_prompt(input)}, {"stream", streamed}, {"priority", req.priority}};
    if (req.max_tokens > 0) {
        body["max_tokens"] = req.max_tokens;
    }
    if (req.seed) {
        body["seed"] = *req.seed;
    }
    return {"/v1/completions", dump(body)};
}

endpoint_call make_resume_call(const std::string& stream, std::uint64_t after) {
    return {"/v1/streams/" + stream + "/resume", dump(json{{"after", after}})};
}

bool is_valid_stream_id(std::string_view text) {
    const auto allowed = [](char it) {
        return (it >= 'a' && it <= 'z') || (it >= 'A' && it <= 'Z') || (it >= '0' && it <= '9') ||
               it == '-' || it == '_' || it == '.' || it == ':';
    };
    return !text.empty() && text.size() <= max_stream_id_length &&
           std::all_of(text.begin(), text.end(), allowed);
}

base::result<stage_output> parse_output(config::service_kind kind, std::string_view body) {
    if (!is_valid_json(body)) {
        return base::fail(base::error_code::protocol_violation, "the response is not valid JSON");
    }
    const json answer = json::parse(body);
    if (kind == config::service_kind::model_engine) {
        return parse_completion(answer);
    }
    if (!answer.is_object() || !answer.contains("output")) {
        return missing_member_error("output");
    }
    return stage_output{dump(answer["output"]), 0};
}

std::string to_json_string(const std::string& text) {
    return dump(json(text));
}

} // namespace rattanbay::pipeline::internal
