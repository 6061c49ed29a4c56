#include <rattanbay/base/hash.hpp>
#include <rattanbay/base/incarnation.hpp>

#include <charconv>

namespace rattanbay::base {

incarnation incarnation::generate(random_source& random) {
    incarnation generated;
    for (std::uint8_t& byte : generated.bytes) {
        byte = static_cast<std::uint8_t>(random.bits());
    }
    return generated;
}

result<incarnation> incarnation::parse(std::string_view text) {
    constexpr std::size_t digits_per_byte = 2;
    constexpr int hexadecimal_base = 16;
    incarnation parsed;
    const std::string original_text(text);
    if (text.size() != parsed.bytes.size() * digits_per_byte) {
        return fail(error_code::invalid_input,
                    "'" + original_text + "' is not an incarnation of 24 hexadecimal digits");
    }
    for (std::size_t n = 0; n < parsed.bytes.size(); ++n) {
        const char* const begin = text.data() + n * digits_per_byte;
        const char* const end = begin + digits_per_byte;
        const std::from_chars_result converted =
            std::from_chars(begin, end, parsed.bytes[n], hexadecimal_base);
        if (converted.ec != std::errc() || converted.ptr != end) {
            return fail(error_code::invalid_input,
                        "'" + original_text + "' is not an incarnation of 24 hexadecimal digits");
        }
    }
    // Accepting upper-case digits would allow several texts for one incarnation.
    if (parsed.text() != text) {
        return fail(error_code::invalid_input, "'" + original_text + "' has upper-case hexadecimal digits");
    }
    return parsed;
}

std::string incarnation::text() const {
    return to_hex(bytes.data(), bytes.size());
}

} // namespace rattanbay::base
