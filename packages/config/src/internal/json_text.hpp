#pragma once

#include <rattanbay/config/finding.hpp>

#include <nlohmann/json.hpp>

#include <string_view>
#include <vector>

namespace rattanbay::config::internal {

/// A parsed JSON value and the errors found in its text.
struct parsed_json {
    /// Null if the text is not well formed.
    nlohmann::json value;
    /// Duplicate keys, or the single error that prevented parsing.
    std::vector<finding> findings;
    /// Whether the text is valid JSON of a bounded depth, so that its content can be validated.
    bool well_formed = false;
};

/// Parses JSON with comments. The JSON parser silently keeps the last of several equal keys of an object, so
/// duplicate keys are reported here.
parsed_json parse_json_with_comments(std::string_view text);

/// `pointer` extended by one key, escaped according to RFC 6901.
std::string child_pointer(std::string_view pointer, std::string_view key);

/// `pointer` extended by an array index.
std::string child_pointer(std::string_view pointer, std::size_t index);

} // namespace rattanbay::config::internal
