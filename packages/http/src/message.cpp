#include <rattanbay/http/message.hpp>

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <charconv>

namespace rattanbay::http {

namespace {

bool is_unreserved(char symbol) {
    constexpr std::string_view marks = "-._~";
    return (symbol >= 'a' && symbol <= 'z') || (symbol >= 'A' && symbol <= 'Z') ||
           (symbol >= '0' && symbol <= '9') || marks.find(symbol) != std::string_view::npos;
}

/// Decodes a value of a form-encoded query.
std::string decode_query_value(std::string_view text) {
    std::string spaced(text);
    std::ranges::replace(spaced, '+', ' ');
    return percent_decode(spaced);
}

} // namespace

std::string percent_encode(std::string_view text) {
    constexpr std::string_view digits = "0123456789ABCDEF";
    constexpr unsigned bits_per_digit = 4;
    constexpr unsigned digit_mask = 0xF;
    std::string out;
    for (const char symbol : text) {
        if (is_unreserved(symbol)) {
            out += symbol;
            continue;
        }
        const unsigned byte = static_cast<unsigned char>(symbol);
        out += {'%', digits[byte >> bits_per_digit], digits[byte & digit_mask]};
    }
    return out;
}

std::string percent_decode(std::string_view text) {
    constexpr int hexadecimal_base = 16;
    std::string out;
    for (std::size_t n = 0; n < text.size(); ++n) {
        unsigned char byte = 0;
        if (text[n] == '%' && n + 2 < text.size() &&
            std::from_chars(text.data() + n + 1, text.data() + n + 3, byte, hexadecimal_base).ptr ==
                text.data() + n + 3) {
            out += static_cast<char>(byte);
            n += 2;
        } else {
            out += text[n];
        }
    }
    return out;
}

void fields::add(std::string name, std::string value) {
    list_.push_back(field{std::move(name), std::move(value)});
}

std::optional<std::string> fields::find(std::string_view name) const {
    for (const field& entry : list_) {
        if (boost::beast::iequals(boost::beast::string_view(entry.name.data(), entry.name.size()),
                                  boost::beast::string_view(name.data(), name.size()))) {
            return entry.value;
        }
    }
    return std::nullopt;
}

void request::share_body() {
    struct counted_body {
        std::string bytes;
        std::shared_ptr<memory_share> memory;
    };

    const std::shared_ptr<counted_body> held =
        std::make_shared<counted_body>(counted_body{std::move(body), std::move(memory)});
    body.clear();
    shared_body = std::shared_ptr<const std::string>(held, &held->bytes);
}

std::string_view target_path(std::string_view target) {
    return target.substr(0, target.find('?'));
}

std::optional<std::string> query_parameter(std::string_view target, std::string_view name) {
    const std::size_t query_position = target.find('?');
    std::string_view remaining =
        query_position == std::string_view::npos ? std::string_view() : target.substr(query_position + 1);
    while (!remaining.empty()) {
        const std::string_view parameter = remaining.substr(0, remaining.find('&'));
        remaining.remove_prefix(std::min(remaining.size(), parameter.size() + 1));
        const std::size_t equals = parameter.find('=');
        if (parameter.substr(0, equals) == name) {
            return equals == std::string_view::npos ? std::string()
                                                    : decode_query_value(parameter.substr(equals + 1));
        }
    }
    return std::nullopt;
}

response json_response(int status, std::string body) {
    return response{status, fields{{"Content-Type", "application/json"}}, std::move(body)};
}

} // namespace rattanbay::http
