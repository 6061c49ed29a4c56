#include <rattanbay/config/name.hpp>

#include <algorithm>

namespace rattanbay::config {

namespace {

bool is_letter_or_digit(char symbol) {
    return (symbol >= 'a' && symbol <= 'z') || (symbol >= 'A' && symbol <= 'Z') ||
           (symbol >= '0' && symbol <= '9');
}

} // namespace

bool is_valid_name(std::string_view text) {
    constexpr std::size_t max_size = 64;
    const auto allowed = [](char symbol) {
        return is_letter_or_digit(symbol) || symbol == '.' || symbol == '_' || symbol == '-';
    };
    return !text.empty() && text.size() <= max_size && is_letter_or_digit(text.front()) &&
           std::ranges::all_of(text, allowed);
}

} // namespace rattanbay::config
