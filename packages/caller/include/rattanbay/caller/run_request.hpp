#pragma once

#include <rattanbay/base/enum_names.hpp>
#include <rattanbay/base/identifier.hpp>
#include <rattanbay/base/problem.hpp>
#include <rattanbay/base/time.hpp>
#include <rattanbay/http/message.hpp>

#include <tl/expected.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace rattanbay::caller {

/// API through which a pipeline is called; it determines the format of the response.
enum class api_format {
    /// POST /v1/pipelines/{name}/runs
    run,
    /// POST /v1/completions, compatible with the OpenAI API
    completion,
};

/// A request to run a pipeline, parsed without knowledge of the pipeline.
struct run_request {
    caller::api_format format = caller::api_format::run;
    base::pipeline_name pipeline;
    /// Identifier chosen by the caller, empty if there is none.
    base::request_id id;
    /// Input of the first stage as JSON text.
    std::string input;
    bool streamed = false;
    std::uint64_t max_tokens = 0;
    std::optional<std::uint64_t> seed;
    /// Time allowed for the response, counted from the arrival of the request.
    std::optional<base::duration> deadline;
    /// Idempotency key, unparsed.
    std::optional<std::string> idempotency_key;
    /// Bearer token of the client account, empty if there is none.
    std::string token;
};

/// Maximum value of `max_tokens` in a request.
constexpr std::uint64_t max_tokens_limit = 8192;
/// Value of `max_tokens` for requests that do not set it.
constexpr std::uint64_t default_max_tokens = 256;

/// Whether the path of a request target is one that runs a pipeline.
bool is_run_request(std::string_view target);

/// Parses the method, path and header fields of a request; members set by the body keep their defaults.
/// Malformed header fields of a request with an idempotency key give the outcome `unknown`.
tl::expected<run_request, base::problem> parse_run_header(const http::request& message);

/// Parses the body of a request whose header was already parsed. Problems have the outcome `not_run`, as no
/// VM can ever run a request with a malformed body.
tl::expected<run_request, base::problem> parse_run_body(run_request header, std::string_view body);

/// Parses a complete request; combines `parse_run_header` and `parse_run_body`.
tl::expected<run_request, base::problem> parse_run_request(const http::request& message);

} // namespace rattanbay::caller

template <> struct rattanbay::base::enum_names<rattanbay::caller::api_format> {
    static constexpr std::array<enum_name<caller::api_format>, 2> table{{
        {caller::api_format::run, "run"},
        {caller::api_format::completion, "completion"},
    }};
};
