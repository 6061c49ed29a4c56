#include <rattanbay/base/json.hpp>
#include <rattanbay/caller/answer.hpp>

#include <nlohmann/json.hpp>

namespace rattanbay::caller {

namespace {

using json = nlohmann::ordered_json;

std::string dump(const json& value) {
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json parsed_output(const std::string& output) {
    return base::parse_json<json>(output);
}

json usage_of(const answer_parts& parts) {
    return json{{"completion_tokens", parts.tokens}};
}

json stages_of(const answer_parts& parts) {
    json list = json::array();
    for (const stage_usage& stage : parts.stages) {
        list.push_back(json{
            {"name", stage.name}, {"attempts", stage.attempts}, {"ms", base::to_milliseconds(stage.took)}});
    }
    return list;
}

/// Text of an output: a JSON string's characters, or the JSON text of any other value.
std::string text_of(const json& output) {
    return output.is_string() ? output.get<std::string>() : dump(output);
}

json completion(const base::request_id& id, const base::pipeline_name& pipeline, json choice) {
    json body;
    body["id"] = id.text();
    body["object"] = "text_completion";
    body["model"] = pipeline.text();
    body["choices"] = json::array({std::move(choice)});
    return body;
}

} // namespace

std::string answer_body(dialect form, const answer_parts& parts) {
    const json output = parsed_output(parts.output);
    if (form == dialect::completion) {
        json body = completion(parts.id, parts.pipeline,
                               json{{"index", 0}, {"text", text_of(output)}, {"finish_reason", "stop"}});
        body["usage"] = usage_of(parts);
        return dump(body);
    }
    json body;
    body["id"] = parts.id.text();
    body["pipeline"] = parts.pipeline.text();
    body["output"] = output;
    body["stages"] = stages_of(parts);
    body["usage"] = usage_of(parts);
    return dump(body);
}

std::string chunk_data(dialect form, const base::request_id& id, const base::pipeline_name& pipeline,
                       std::uint64_t index, std::string_view text) {
    if (form == dialect::completion) {
        json choice{{"index", 0}, {"text", std::string(text)}, {"finish_reason", nullptr}};
        return dump(completion(id, pipeline, std::move(choice)));
    }
    json chunk;
    chunk["id"] = id.text();
    chunk["index"] = index;
    chunk["text"] = std::string(text);
    return dump(chunk);
}

std::string last_chunk_data(dialect form, const answer_parts& parts) {
    if (form == dialect::completion) {
        json body =
            completion(parts.id, parts.pipeline, json{{"index", 0}, {"text", ""}, {"finish_reason", "stop"}});
        body["usage"] = usage_of(parts);
        return dump(body);
    }
    json chunk;
    chunk["id"] = parts.id.text();
    chunk["stages"] = stages_of(parts);
    chunk["usage"] = usage_of(parts);
    return dump(chunk);
}

} // namespace rattanbay::caller
