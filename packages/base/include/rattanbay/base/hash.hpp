#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace rattanbay::base {

/// 128-bit hash value.
struct hash128 {
    std::uint64_t high = 0;
    std::uint64_t low = 0;

    /// 32 lower-case hexadecimal digits.
    std::string text() const;

    friend bool operator==(const hash128&, const hash128&) = default;
    friend std::strong_ordering operator<=>(const hash128&, const hash128&) = default;
};

/// Non-cryptographic 128-bit hash (XXH3); not safe against chosen inputs.
hash128 fast_hash(std::string_view data);

/// First 128 bits of SHA-256, for identifiers that callers can choose.
hash128 secure_hash(std::string_view data);

/// SHA-256 as 64 lower-case hexadecimal digits.
std::string sha256_hex(std::string_view data);

/// First 64 bits of HMAC-SHA256.
std::uint64_t hmac64(std::string_view key, std::string_view data);

/// Lower-case hexadecimal digits of `bytes`.
std::string to_hex(const std::uint8_t* bytes, std::size_t size);

} // namespace rattanbay::base
