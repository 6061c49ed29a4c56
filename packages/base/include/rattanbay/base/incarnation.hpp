#pragma once

#include <rattanbay/base/error.hpp>
#include <rattanbay/base/random_source.hpp>

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace rattanbay::base {

/// Random 96-bit identity of one daemon process. A restarted or replaced daemon at the same address
/// has a different one.
struct incarnation {
    std::array<std::uint8_t, 12> bytes{};

    /// Generates a random identity.
    static incarnation generate(random_source& random);

    /// Parses 24 lower-case hexadecimal digits. Error: `invalid_input` for any other text.
    static result<incarnation> parse(std::string_view text);

    /// 24 lower-case hexadecimal digits.
    std::string text() const;

    friend bool operator==(const incarnation&, const incarnation&) = default;
    friend std::strong_ordering operator<=>(const incarnation&, const incarnation&) = default;
};

} // namespace rattanbay::base
