#include <rattanbay/base/hash.hpp>
#include <rattanbay/ledger/key.hpp>

#include <algorithm>
#include <charconv>

namespace rattanbay::ledger {

namespace {

constexpr std::string_view format_version = "rb1";
constexpr int hex_base = 16;
constexpr std::size_t mac_hex_digits = 16;
constexpr std::size_t min_suffix_length = 8;
constexpr std::size_t max_suffix_length = 64;

std::string format_hex(std::uint64_t value, std::size_t min_digits) {
    std::string digits(mac_hex_digits, '0');
    const std::to_chars_result result =
        std::to_chars(digits.data(), digits.data() + digits.size(), value, hex_base);
    digits.resize(static_cast<std::size_t>(result.ptr - digits.data()));
    const std::size_t missing = min_digits > digits.size() ? min_digits - digits.size() : 0;
    return std::string(missing, '0') + digits;
}

bool parse_hex(std::string_view digits, std::uint64_t& value) {
    const char* const end = digits.data() + digits.size();
    const std::from_chars_result result = std::from_chars(digits.data(), end, value, hex_base);
    return result.ec == std::errc() && result.ptr == end;
}

/// Removes the text before the first '-' and the '-' itself from `text`, and returns the removed field.
std::string_view take_field(std::string_view& text) {
    const std::size_t length = std::min(text.find('-'), text.size());
    const std::string_view field = text.substr(0, length);
    text.remove_prefix(std::min(length + 1, text.size()));
    return field;
}

bool parse_address(std::string_view digits, base::address& value) {
    constexpr std::size_t address_hex_digits = 12;
    constexpr unsigned bits_per_byte = 8;
    constexpr unsigned port_bits = 16;
    std::uint64_t number = 0;
    if (digits.size() != address_hex_digits || !parse_hex(digits, number)) {
        return false;
    }
    value.port = static_cast<std::uint16_t>(number);
    number >>= port_bits;
    for (std::size_t n = value.ip.size(); n > 0; --n) {
        value.ip[n - 1] = static_cast<std::uint8_t>(number);
        number >>= bits_per_byte;
    }
    return value.port != 0;
}

bool is_suffix_character(char c) {
    return (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '_' || c == '-';
}

} // namespace

std::string key_prefix::unsigned_text() const {
    constexpr std::size_t port_hex_digits = 4;
    std::string out(format_version);
    out += '-';
    out += base::to_name(recording);
    out += '-' + incarnation.text();
    out += '-' + format_hex(window, 1);
    out += '-' + base::to_hex(peer_address.ip.data(), peer_address.ip.size());
    out += format_hex(peer_address.port, port_hex_digits);
    return out;
}

std::string key_prefix::signed_text(std::string_view cluster_secret) const {
    const std::string content = unsigned_text();
    return content + '-' + format_hex(base::hmac64(cluster_secret, content), mac_hex_digits);
}

base::result<key_prefix> key_prefix::parse(std::string_view text, std::string_view cluster_secret) {
    const tl::unexpected<base::error> malformed =
        base::fail(base::error_code::invalid_input, "'" + std::string(text) + "' is not a key prefix");
    std::string_view rest = text;
    key_prefix parsed;
    if (take_field(rest) != format_version) {
        return malformed;
    }
    const std::optional<record_class> recording = base::from_name<record_class>(take_field(rest));
    const base::result<base::incarnation> incarnation = base::incarnation::parse(take_field(rest));
    if (!recording || !incarnation) {
        return malformed;
    }
    parsed.recording = *recording;
    parsed.incarnation = *incarnation;
    if (!parse_hex(take_field(rest), parsed.window) ||
        !parse_address(take_field(rest), parsed.peer_address)) {
        return malformed;
    }
    const std::string content = parsed.unsigned_text();
    // Accept only the canonical text. Upper-case digits or leading zeros would let one prefix have several
    // texts, which would be different keys.
    if (rest.size() != mac_hex_digits || text != content + '-' + std::string(rest)) {
        return malformed;
    }
    if (rest != format_hex(base::hmac64(cluster_secret, content), mac_hex_digits)) {
        return base::fail(base::error_code::permission_denied,
                          "the authentication code of the key prefix is wrong");
    }
    return parsed;
}

base::result<key> key::parse(std::string_view text, std::string_view cluster_secret) {
    const std::size_t dot = text.find('.');
    if (dot == std::string_view::npos) {
        return base::fail(base::error_code::invalid_input,
                          "an idempotency key has the form <key_prefix>.<caller's own id>");
    }
    const std::string_view suffix = text.substr(dot + 1);
    if (suffix.size() < min_suffix_length || suffix.size() > max_suffix_length ||
        !std::all_of(suffix.begin(), suffix.end(), is_suffix_character)) {
        return base::fail(base::error_code::invalid_input,
                          "the caller's own id of an idempotency key is 8 to 64 characters of [A-Za-z0-9_-]");
    }
    base::result<key_prefix> prefix = key_prefix::parse(text.substr(0, dot), cluster_secret);
    if (!prefix) {
        return tl::unexpected<base::error>(prefix.error());
    }
    return key{*prefix, std::string(suffix)};
}

} // namespace rattanbay::ledger
