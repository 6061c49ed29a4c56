#pragma once

#include <rattanbay/base/error.hpp>

#include <array>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace rattanbay::base {

/// IPv4 address and TCP port.
struct address {
    std::array<std::uint8_t, 4> ip{};
    std::uint16_t port = 0;

    /// Parses "a.b.c.d:port". Error: `invalid_input` if the text has another form or the port is 0.
    static result<address> parse(std::string_view text);

    /// IP address in dotted decimal notation.
    std::string host() const;

    /// "a.b.c.d:port".
    std::string text() const;

    friend bool operator==(const address&, const address&) = default;
    friend std::strong_ordering operator<=>(const address&, const address&) = default;
};

} // namespace rattanbay::base

template <> struct std::hash<rattanbay::base::address> {
    std::size_t operator()(const rattanbay::base::address& value) const noexcept;
};
