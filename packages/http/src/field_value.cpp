#include <rattanbay/http/field_value.hpp>

#include <algorithm>

namespace rattanbay::http {

namespace {

bool is_control(char symbol) {
    constexpr char first_printable = 0x20;
    constexpr char delete_symbol = 0x7F;
    // Bytes above 0x7F are negative where `char` is signed; fields may contain them.
    return (static_cast<unsigned char>(symbol) < first_printable) || symbol == delete_symbol;
}

} // namespace

bool is_field_value(std::string_view text) {
    return !text.empty() && std::ranges::none_of(text, is_control) && !text.starts_with(' ') &&
           !text.ends_with(' ');
}

bool is_list_element(std::string_view text) {
    return is_field_value(text) && text.find_first_of(" ,") == std::string_view::npos;
}

} // namespace rattanbay::http
