#pragma once

#include <cstddef>
#include <string_view>

namespace rattanbay::base {

/// Most levels of arrays and objects in a JSON text from another process. Copying and printing a value
/// of the JSON library recurse at each level, so that a deep one would overrun the stack.
constexpr std::size_t most_json_levels = 64;

/// Whether arrays and objects of a JSON text are nested at most `most` levels deep. The text need not
/// be well-formed.
bool is_nested_within(std::string_view text, std::size_t most);

/// Parses a JSON text from another process. The value is discarded (`is_discarded()`) when the text is
/// malformed or nested deeper than `most_json_levels`.
template <class Json> Json parse_json(std::string_view text) {
    return is_nested_within(text, most_json_levels) ? Json::parse(text, nullptr, false)
                                                    : Json(Json::value_t::discarded);
}

} // namespace rattanbay::base
