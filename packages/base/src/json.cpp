#include <rattanbay/base/json.hpp>

namespace rattanbay::base {

bool is_depth_within(std::string_view text, std::size_t max_depth) {
    std::size_t depth = 0;
    bool in_string = false;
    for (std::size_t n = 0; n < text.size(); ++n) {
        const char character = text[n];
        if (in_string) {
            // Skips the escaped character, which cannot end the string.
            n += character == '\\' ? 1 : 0;
            in_string = character != '"';
        } else if (character == '"') {
            in_string = true;
        } else if (character == '[' || character == '{') {
            if (++depth > max_depth) {
                return false;
            }
        } else if ((character == ']' || character == '}') && depth > 0) {
            --depth;
        }
    }
    return true;
}

} // namespace rattanbay::base
