#include <rattanbay/base/json.hpp>
#include <rattanbay/caller/run_response.hpp>

#include <nlohmann/json.hpp>

namespace rattanbay::caller {

namespace {

using json = nlohmann::ordered_json;

std::string dump(const json& value) {
    return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json parse_output(const std::string& output) {
    return base::parse_json<json>(output);
}

json usage_of(const run_response& response) {
    return json{{"completion_tokens", response.tokens}};
}

json stages_of(const run_response& response) {
    json list = json::array();
    for (const stage_usage& stage : response.stages) {
        list.push_back(json{{"name", stage.name},
                            {"attempts", stage.attempts},
                            {"ms", base::to_milliseconds(stage.duration)}});
    }
    return list;
}

/// Content of a JSON string, or the JSON text of any other value.
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

std::string response_body(api_format format, const run_response& response) {
    const json output = parse_output(response.output);
    if (format == api_format::completion) {
        json body = completion(response.id, response.pipeline,
                               json{{"index", 0}, {"text", text_of(output)}, {"finish_reason", "stop"}});
        body["usage"] = usage_of(response);
        return dump(body);
    }
    json body;
    body["id"] = response.id.text();
    body["pipeline"] = response.pipeline.text();
    body["output"] = output;
    body["stages"] = stages_of(response);
    body["usage"] = usage_of(response);
    return dump(body);
}

std::string stream_chunk(api_format format, const base::request_id& id, const base::pipeline_name& pipeline,
                         std::uint64_t index, std::string_view text) {
    if (format == api_format::completion) {
        json choice{{"index", 0}, {"text", std::string(text)}, {"finish_reason", nullptr}};
        return dump(completion(id, pipeline, std::move(choice)));
    }
    json chunk;
    chunk["id"] = id.text();
    chunk["index"] = index;
    chunk["text"] = std::string(text);
    return dump(chunk);
}

std::string final_stream_chunk(api_format format, const run_response& response) {
    if (format == api_format::completion) {
        json body = completion(response.id, response.pipeline,
                               json{{"index", 0}, {"text", ""}, {"finish_reason", "stop"}});
        body["usage"] = usage_of(response);
        return dump(body);
    }
    json chunk;
    chunk["id"] = response.id.text();
    chunk["stages"] = stages_of(response);
    chunk["usage"] = usage_of(response);
    return dump(chunk);
}

} // namespace rattanbay::caller
