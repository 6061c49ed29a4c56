#include <rattanbay/base/address.hpp>

#include <charconv>

namespace rattanbay::base {

namespace {

/// Parses a decimal number of at most `max_value` at the front of `text` and removes it from `text`.
bool consume_number(std::string_view& text, unsigned max_value, unsigned& value) {
    const char* const begin = text.data();
    const std::from_chars_result parsed = std::from_chars(begin, begin + text.size(), value);
    if (parsed.ec != std::errc() || value > max_value) {
        return false;
    }
    text.remove_prefix(static_cast<std::size_t>(parsed.ptr - begin));
    return true;
}

} // namespace

result<address> address::parse(std::string_view text) {
    constexpr unsigned max_octet = 255;
    constexpr unsigned max_port = 65535;
    const std::string original_text(text);
    const tl::unexpected<error> invalid = fail(
        error_code::invalid_input, "'" + original_text + "' is not an address of the form 127.0.0.1:8080");
    address parsed;
    for (std::size_t n = 0; n < parsed.ip.size(); ++n) {
        const char separator = n + 1 < parsed.ip.size() ? '.' : ':';
        unsigned octet = 0;
        if (!consume_number(text, max_octet, octet) || text.empty() || text.front() != separator) {
            return invalid;
        }
        text.remove_prefix(1);
        parsed.ip[n] = static_cast<std::uint8_t>(octet);
    }
    unsigned port = 0;
    if (!consume_number(text, max_port, port) || !text.empty() || port == 0) {
        return invalid;
    }
    parsed.port = static_cast<std::uint16_t>(port);
    return parsed;
}

std::string address::host() const {
    std::string out;
    for (const std::uint8_t octet : ip) {
        out += out.empty() ? "" : ".";
        out += std::to_string(octet);
    }
    return out;
}

std::string address::text() const {
    return host() + ":" + std::to_string(port);
}

} // namespace rattanbay::base

std::size_t
std::hash<rattanbay::base::address>::operator()(const rattanbay::base::address& value) const noexcept {
    std::uint64_t packed = value.port;
    for (const std::uint8_t octet : value.ip) {
        packed = (packed << 8U) | octet;
    }
    return std::hash<std::uint64_t>{}(packed);
}
