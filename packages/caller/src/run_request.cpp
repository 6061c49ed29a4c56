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

/// Name between the prefix and the suffix of a run path, or nothing.
std::optional<std::string> pipeline_of(std::string_view path) {
    if (!path.starts_with(run_prefix) || !path.ends_with(run_suffix)) {
        return std::nullopt;
    }
    path.remove_prefix(run_prefix.size());
    if (path.size() <= run_suffix.size()) {
        return std::nullopt;
    }
    return std::string(path.substr(0, path.size() - run_suffix.size()));
}

/// Reader of one body; keeps the first error.
class body_reader {
public:
    body_reader(const json& body, std::initializer_list<std::string_view> known)
        : body_(body) {
        for (auto it = body.begin(); it != body.end(); ++it) {
            if (std::find(known.begin(), known.end(), it.key()) == known.end()) {
                fail("'" + it.key() + "' is not a member of this request");
            }
        }
    }

    bool boolean(const char* name) {
        const json value = body_.value(name, json(false));
        if (!value.is_boolean()) {
            fail(std::string("'") + name + "' has to be true or false");
            return false;
        }
        return value.get<bool>();
    }

    std::optional<std::uint64_t> number(const char* name, std::uint64_t least, std::uint64_t most) {
        if (!body_.contains(name) || body_[name].is_null()) {
            return std::nullopt;
        }
        const json& value = body_[name];
        if (!value.is_number_unsigned() || value.get<std::uint64_t>() < least ||
            value.get<std::uint64_t>() > most) {
            fail(std::string("'") + name + "' has to be a whole number from " + std::to_string(least) +
                 " to " + std::to_string(most));
            return std::nullopt;
        }
        return value.get<std::uint64_t>();
    }

    std::string required(const char* name) {
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
        return malformed(base::is_nested_within(text, base::most_json_levels)
                             ? "the body is not valid JSON"
                             : "the body is nested too deep");
    }
    if (!body.is_object()) {
        return malformed("the body has to be a JSON object");
    }
    return body;
}

/// Reads the members of a body into the request; returns what is wrong with them, if anything.
std::string read_members(const json& body, run_request& out) {
    constexpr std::uint64_t any = ~std::uint64_t{0};
    const bool is_run = out.dialect == dialect::run;
    body_reader reader = is_run
                             ? body_reader(body, {"input", "stream", "max_tokens", "seed"})
                             : body_reader(body, {"model", "prompt", "stream", "max_tokens", "seed", "user"});
    out.input = reader.required(is_run ? "input" : "prompt");
    out.streamed = reader.boolean("stream");
    out.max_tokens = reader.number("max_tokens", 1, max_tokens_limit).value_or(default_max_tokens);
    out.seed = reader.number("seed", 0, any);
    return reader.error();
}

bool is_id_character(char character) {
    return character > ' ' && character < '\x7f';
}

/// Reads the header fields into the request; returns what is wrong with them, if anything.
std::string read_fields(const http::fields& fields, run_request& out) {
    const std::string id = fields.find("X-Request-Id").value_or(std::string());
    if (id.size() > max_id_characters || !std::all_of(id.begin(), id.end(), is_id_character)) {
        return "X-Request-Id has to be at most 128 visible ASCII characters";
    }
    out.id = base::request_id(id);
    out.idempotency_key = fields.find("Idempotency-Key");
    const std::string authorization = fields.find("Authorization").value_or(std::string());
    constexpr std::string_view scheme = "Bearer ";
    out.token = authorization.starts_with(scheme) ? authorization.substr(scheme.size()) : std::string();
    const std::optional<std::string> deadline = fields.find("X-Request-Deadline-Ms");
    if (deadline) {
        std::uint32_t milliseconds = 0;
        const char* const end = deadline->data() + deadline->size();
        const std::from_chars_result parsed = std::from_chars(deadline->data(), end, milliseconds);
        if (parsed.ec != std::errc() || parsed.ptr != end) {
            return "X-Request-Deadline-Ms has to be a whole number of milliseconds";
        }
        out.deadline = base::from_milliseconds(milliseconds);
    }
    return {};
}

} // namespace

bool is_run_request(std::string_view target) {
    const std::string_view path = http::target_path(target);
    return path == completion_path || pipeline_of(path).has_value();
}

tl::expected<run_request, base::problem> parse_run_head(const http::request& message) {
    if (message.method != "POST") {
        return tl::unexpected<base::problem>(base::problem{base::problem_kind::method_not_allowed,
                                                           base::outcome::not_run, "use POST", std::nullopt});
    }
    const std::string_view path = http::target_path(message.target);
    run_request out;
    out.dialect = path == completion_path ? dialect::completion : dialect::run;
    out.pipeline = base::pipeline_name(pipeline_of(path).value_or(std::string()));
    const std::string wrong = read_fields(message.fields, out);
    if (wrong.empty()) {
        return out;
    }
    tl::unexpected<base::problem> refusal = malformed(wrong);
    if (out.idempotency_key) {
        // The same key and body may have run with other header fields.
        refusal.value().outcome = base::outcome::unknown;
    }
    return refusal;
}

tl::expected<run_request, base::problem> parse_run_body(run_request head, std::string_view body) {
    const tl::expected<json, base::problem> parsed = parse_object(body);
    if (!parsed) {
        return tl::unexpected<base::problem>(parsed.error());
    }
    std::string wrong = read_members(*parsed, head);
    if (!wrong.empty()) {
        return malformed(std::move(wrong));
    }
    if (head.dialect == dialect::completion) {
        const json model = parsed->value("model", json());
        if (!model.is_string()) {
            return malformed("'model' has to be the name of a pipeline");
        }
        head.pipeline = base::pipeline_name(model.get<std::string>());
    }
    return head;
}

tl::expected<run_request, base::problem> parse_run_request(const http::request& message) {
    tl::expected<run_request, base::problem> head = parse_run_head(message);
    return head ? parse_run_body(std::move(*head), message.body) : head;
}

} // namespace rattanbay::caller
