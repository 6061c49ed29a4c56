#pragma once

#include <rattanbay/base/error.hpp>
#include <rattanbay/config/environment_document.hpp>
#include <rattanbay/pipeline/execution.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace rattanbay::pipeline::internal {

/// Path and body of an HTTP call to an endpoint.
struct endpoint_call {
    std::string path;
    /// JSON text.
    std::string body;
};

/// Output of a stage and its token count.
struct stage_output {
    /// JSON text.
    std::string value;
    /// Number of generated tokens reported by a model engine.
    std::uint64_t tokens = 0;
};

/// Whether `text` is valid JSON with at most 200 nesting levels. Serialization is recursive, so deeper
/// nesting could exhaust the stack.
bool is_valid_json(std::string_view text);

/// Builds the call of a stage. `input` must satisfy `is_valid_json`.
endpoint_call make_stage_call(config::service_kind kind, const request& req, const std::string& input,
                              bool streamed);

/// Builds the call that resumes a stream after the token with index `after`.
endpoint_call make_resume_call(const std::string& stream, std::uint64_t after);

/// Whether an engine's stream identifier can be used in a URL path without escaping.
bool is_valid_stream_id(std::string_view text);

/// Parses the body of a successful response. Errors: `protocol_violation`.
base::result<stage_output> parse_output(config::service_kind kind, std::string_view body);

/// Serializes a string as JSON.
std::string to_json_string(const std::string& text);

} // namespace rattanbay::pipeline::internal
