#include <rattanbay/base/json.hpp>

namespace rattanbay::base {

bool is_nested_within(std::string_view text, std::size_t most) {
    std::size_t levels = 0;
    bool in_string = false;
    for (std::size_t n = 0; n < text.size(); ++n) {
        const char symbol = text[n];
        if (in_string) {
            // An escaped character does not end the string.
            n += symbol == '\\' ? 1 : 0;
            in_string = symbol != '"';
        } else if (symbol == '"') {
            in_string = true;
        } else if (symbol == '[' || symbol == '{') {
            if (++levels > most) {
                return false;
            }
        } else if ((symbol == ']' || symbol == '}') && levels > 0) {
            --levels;
        }
    }
    return true;
}

} // namespace rattanbay::base
