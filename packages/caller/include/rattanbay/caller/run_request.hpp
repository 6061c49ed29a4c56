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

/// Form in which a pipeline was called; the answer has the same.
enum class dialect {
    /// POST /v1/pipelines/{name}/runs
    run,
    /// POST /v1/completions, after OpenAI's
    completion,
};

/// A request to run a pipeline, as far as it can be read without knowing the pipeline.
struct run_request {
    caller::dialect dialect = caller::dialect::run;
    base::pipeline_name pipeline;
    /// Identifier given by the caller, empty for none.
    base::request_id id;
    /// JSON text of the first stage's input.
    std::string input;
    bool streamed = false;
    std::uint64_t max_tokens = 0;
    std::optional<std::uint64_t> seed;
    /// Time that the caller gives for the answer, counted from the arrival.
    std::optional<base::duration> deadline;
    /// Text of the idempotency key.
    std::optional<std::string> idempotency_key;
    /// The account's bearer token, empty for none.
    std::string token;
};

/// Most tokens that a request may ask for.
constexpr std::uint64_t max_tokens_limit = 8192;
/// Tokens generated when a request does not say.
constexpr std::uint64_t default_max_tokens = 256;

/// Whether a request is one to run a pipeline, by its path.
bool is_run_request(std::string_view target);

/// Reads what a request's method, path and header fields say; the body's members keep their defaults.
/// A problem of a request with an idempotency key has the outcome `unknown`.
tl::expected<run_request, base::problem> parse_run_head(const http::request& message);

/// Reads a body for a head that was read before. A problem has the outcome `not_run`, as no VM can ever
/// run it.
tl::expected<run_request, base::problem> parse_run_body(run_request head, std::string_view body);

/// Reads a whole request. A problem of the body has the outcome `not_run`, as no VM can ever run it; one of
/// the header fields of a request with an idempotency key has the outcome `unknown`.
tl::expected<run_request, base::problem> parse_run_request(const http::request& message);

} // namespace rattanbay::caller

template <> struct rattanbay::base::enum_names<rattanbay::caller::dialect> {
    static constexpr std::array<enum_name<caller::dialect>, 2> table{{
        {caller::dialect::run, "run"},
        {caller::dialect::completion, "completion"},
    }};
};
