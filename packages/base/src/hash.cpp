#include <rattanbay/base/hash.hpp>

#include <openssl/hmac.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <cassert>

namespace rattanbay::base {

namespace {

using digest = std::array<std::uint8_t, SHA256_DIGEST_LENGTH>;

digest sha256(std::string_view data) {
    digest out{};
    SHA256(reinterpret_cast<const unsigned char*>(data.data()), data.size(), out.data());
    return out;
}

std::uint64_t read_big_endian(const std::uint8_t* bytes) {
    std::uint64_t value = 0;
    for (std::size_t n = 0; n < sizeof(value); ++n) {
        value = (value << 8U) | bytes[n];
    }
    return value;
}

std::string hex64(std::uint64_t value) {
    std::array<std::uint8_t, sizeof(value)> bytes{};
    for (std::size_t n = bytes.size(); n > 0; --n) {
        bytes[n - 1] = static_cast<std::uint8_t>(value);
        value >>= 8U;
    }
    return to_hex(bytes.data(), bytes.size());
}

} // namespace

std::string hash128::text() const {
    return hex64(high) + hex64(low);
}

hash128 fast_hash(std::string_view data) {
    const XXH128_hash_t value = XXH3_128bits(data.data(), data.size());
    return hash128{value.high64, value.low64};
}

hash128 secure_hash(std::string_view data) {
    const digest value = sha256(data);
    return hash128{read_big_endian(value.data()), read_big_endian(value.data() + sizeof(std::uint64_t))};
}

std::string sha256_hex(std::string_view data) {
    const digest value = sha256(data);
    return to_hex(value.data(), value.size());
}

std::uint64_t hmac64(std::string_view key, std::string_view data) {
    digest value{};
    unsigned size = 0;
    const unsigned char* const computed =
        HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
             reinterpret_cast<const unsigned char*>(data.data()), data.size(), value.data(), &size);
    assert(computed != nullptr && size == value.size());
    static_cast<void>(computed);
    return read_big_endian(value.data());
}

std::string to_hex(const std::uint8_t* bytes, std::size_t size) {
    constexpr std::string_view digits = "0123456789abcdef";
    std::string out;
    out.reserve(size * 2);
    for (std::size_t n = 0; n < size; ++n) {
        out += digits[bytes[n] >> 4U];
        out += digits[bytes[n] & 0xFU];
    }
    return out;
}

} // namespace rattanbay::base
