#include <rattanbay/base/json.hpp>
#include <rattanbay/caller/run_request.hpp>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <charconv>

namespace rattanbay::caller {

namespace {

using json = nlohmann::json;

constexpr std::string_view completion_path = "/v1/completions";
constexpr std::string_view run_prefix = "/v1/pipelines/";
constexpr std::string_view run_suffix = "/runs";
constexpr std::size_t max_id_characters = 128;

tl::unexpected<base::problem> malformed(std::string detail) {
    return tl::unexpected<base::problem>(base::problem{
        base::problem_kind::malformed_request, base::outcome::not_run, std::move(detail), std::nullopt});
}

/// Extracts the pipeline name from the path of a run; empty if the path has another form.
std::optional<std::string> parse_pipeline_name(std::string_view path) {
    if (!path.starts_with(run_prefix) || !path.ends_with(run_suffix)) {
        return std::nullopt;
    }
    path.remove_prefix(run_prefix.size());
    if (path.size() <= run_suffix.size()) {
        return std::nullopt;
    }
    return std::string(path.substr(0, path.size() - run_suffix.size()));
}

/// Reads the members of a request body and keeps the first error.
class body_reader {
public:
    body_reader(const json& body, std::initializer_list<std::string_view> known_members)
        : body_(body) {
        for (auto it = body.begin(); it != body.end(); ++it) {
            if (std::find(known_members.begin(), known_members.end(), it.key()) == known_members.end()) {
                fail("'" + it.key() + "' is not a member of this request");
            }
        }
    }

    bool optional_boolean(const char* name) {
        const json value = body_.value(name, json(false));
        if (!value.is_boolean()) {
            fail(std::string("'") + name + "' has to be true or false");
            return false;
        }
        return value.get<bool>();
    }

    std::optional<std::uint64_t> optional_integer(const char* name, std::uint64_t min, std::uint64_t max) {
        if (!body_.contains(name) || body_[name].is_null()) {
            return std::nullopt;
        }
        const json& value = body_[name];
        if (!value.is_number_unsigned() || value.get<std::uint64_t>() < min ||
            value.get<std::uint64_t>() > max) {
            fail(std::string("'") + name + "' has to be a whole number from " + std::to_string(min) + " to " +
                 std::to_string(max));
            return std::nullopt;
        }
        return value.get<std::uint64_t>();
    }

    std::string required_value(const char* name) {
        if (!body_.contains(name)) {
            fail(std::string("'") + name + "' is missing");
            return {};
        }
        return body_[name].dump();
    }

    void fail(std::string detail) { error_ = error_.empty() ? std::move(detail) : error_; }

    const std::string& error() const { return error_; }

private:
    const json& body_;
    std::string error_;
};

tl::expected<json, base::problem> parse_object(std::string_view text) {
    json body = base::parse_json<json>(text);
    if (body.is_discarded()) {
        return malformed(base::is_depth_within(text, base::max_json_depth) ? "the body is not valid JSON"
                                                                           : "the body is nested too deep");
    }
    if (!body.is_object()) {
        return malformed("the body has to be a JSON object");
    }
    return body;
}

/// Reads the members of a body into the request; returns the first error, or an empty string.
std::string read_members(const json& body, run_request& request) {
    constexpr std::uint64_t max_seed = ~std::uint64_t{0};
    const bool is_run = request.format == api_format::run;
    body_reader reader = is_run
                             ? body_reader(body, {"input", "stream", "max_tokens", "seed"})
                             : body_reader(body, {"model", "prompt", "stream", "max_tokens", "seed", "user"});
    request.input = reader.required_value(is_run ? "input" : "prompt");
    request.streamed = reader.optional_boolean("stream");
    request.max_tokens =
        reader.optional_integer("max_tokens", 1, max_tokens_limit).value_or(default_max_tokens);
    request.seed = reader.optional_integer("seed", 0, max_seed);
    return reader.error();
}

bool is_id_character(char character) {
    return character > ' ' && character < '\x7f';
}

/// Reads the header fields into the request; returns the first error, or an empty string.
std::string read_fields(const http::fields& fields, run_request& request) {
    const std::string id = fields.find("X-Request-Id").value_or(std::string());
    if (id.size() > max_id_characters || !std::all_of(id.begin(), id.end(), is_id_character)) {
        return "X-Request-Id has to be at most 128 visible ASCII characters";
    }
    request.id = base::request_id(id);
    request.idempotency_key = fields.find("Idempotency-Key");
    const std::string authorization = fields.find("Authorization").value_or(std::string());
    constexpr std::string_view bearer_prefix = "Bearer ";
    request.token =
        authorization.starts_with(bearer_prefix) ? authorization.substr(bearer_prefix.size()) : std::string();
    const std::optional<std::string> deadline = fields.find("X-Request-Deadline-Ms");
    if (deadline) {
        std::uint32_t milliseconds = 0;
        const char* const end = deadline->data() + deadline->size();
        const std::from_chars_result parsed = std::from_chars(deadline->data(), end, milliseconds);
        if (parsed.ec != std::errc() || parsed.ptr != end) {
            return "X-Request-Deadline-Ms has to be a whole number of milliseconds";
        }
        request.deadline = base::from_milliseconds(milliseconds);
    }
    return {};
}

} // namespace

bool is_run_request(std::string_view target) {
    const std::string_view path = http::target_path(target);
    return path == completion_path || parse_pipeline_name(path).has_value();
}

tl::expected<run_request, base::problem> parse_run_header(const http::request& message) {
    if (message.method != "POST") {
        return tl::unexpected<base::problem>(base::problem{base::problem_kind::method_not_allowed,
                                                           base::outcome::not_run, "use POST", std::nullopt});
    }
    const std::string_view path = http::target_path(message.target);
    run_request request;
    request.format = path == completion_path ? api_format::completion : api_format::run;
    request.pipeline = base::pipeline_name(parse_pipeline_name(path).value_or(std::string()));
    const std::string detail = read_fields(message.fields, request);
    if (detail.empty()) {
        return request;
    }
    tl::unexpected<base::problem> refusal = malformed(detail);
    if (request.idempotency_key) {
        // A request with the same key and body but valid header fields may have run.
        refusal.value().outcome = base::outcome::unknown;
    }
    return refusal;
}

tl::expected<run_request, base::problem> parse_run_body(run_request header, std::string_view body) {
    const tl::expected<json, base::problem> parsed = parse_object(body);
    if (!parsed) {
        return tl::unexpected<base::problem>(parsed.error());
    }
    std::string detail = read_members(*parsed, header);
    if (!detail.empty()) {
        return malformed(std::move(detail));
    }
    if (header.format == api_format::completion) {
        const json model = parsed->value("model", json());
        if (!model.is_string()) {
            return malformed("'model' has to be the name of a pipeline");
        }
        header.pipeline = base::pipeline_name(model.get<std::string>());
    }
    return header;
}

tl::expected<run_request, base::problem> parse_run_request(const http::request& message) {
    tl::expected<run_request, base::problem> header = parse_run_header(message);
    return header ? parse_run_body(std::move(*header), message.body) : header;
}

} // namespace rattanbay::caller
