#pragma once

#include <cstddef>
#include <string_view>

namespace rattanbay::base {

/// Maximum nesting depth of JSON text from another process. Copying and serializing a value of the JSON
/// library recurses once per level, so that a deeply nested value would overflow the stack.
constexpr std::size_t max_json_depth = 64;

/// Whether the arrays and objects of a JSON text are nested at most `max_depth` levels deep. The text may
/// be malformed.
bool is_depth_within(std::string_view text, std::size_t max_depth);

/// Parses JSON text from another process. The value is discarded (`is_discarded()`) if the text is malformed
/// or nested deeper than `max_json_depth`.
template <class Json> Json parse_json(std::string_view text) {
    return is_depth_within(text, max_json_depth) ? Json::parse(text, nullptr, false)
                                                 : Json(Json::value_t::discarded);
}

} // namespace rattanbay::base
