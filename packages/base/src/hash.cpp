#include <rattanbay/base/hash.hpp>

#include <openssl/core_names.h>
#include <openssl/evp.h>
#include <openssl/sha.h>
#include <xxhash.h>

#include <cassert>
#include <memory>

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

/// Computes HMAC-SHA256 codes. A daemon uses one key for all messages, and preparing the library for a key
/// takes longer than a short message, so the prepared state of the last key is kept. Not thread-safe.
class hmac_sha256 {
public:
    digest compute(std::string_view key, std::string_view data) {
        digest out{};
        std::size_t size = 0;
        const bool succeeded =
            prepare(key) == 1 &&
            EVP_MAC_update(context_.get(), reinterpret_cast<const unsigned char*>(data.data()),
                           data.size()) == 1 &&
            EVP_MAC_final(context_.get(), out.data(), &size, out.size()) == 1;
        assert(succeeded && size == out.size());
        static_cast<void>(succeeded);
        return out;
    }

private:
    struct deleter {
        void operator()(EVP_MAC* mac) const { EVP_MAC_free(mac); }

        void operator()(EVP_MAC_CTX* context) const { EVP_MAC_CTX_free(context); }
    };

    int prepare(std::string_view key) {
        if (is_keyed_ && key == key_) {
            return EVP_MAC_init(context_.get(), nullptr, 0, nullptr);
        }
        key_ = key;
        is_keyed_ = true;
        std::string name = "SHA256";
        const std::array<OSSL_PARAM, 2> parameters{
            OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, name.data(), 0),
            OSSL_PARAM_construct_end()};
        return EVP_MAC_init(context_.get(), reinterpret_cast<const unsigned char*>(key_.data()), key_.size(),
                            parameters.data());
    }

    std::unique_ptr<EVP_MAC, deleter> mac_{EVP_MAC_fetch(nullptr, "HMAC", nullptr)};
    std::unique_ptr<EVP_MAC_CTX, deleter> context_{EVP_MAC_CTX_new(mac_.get())};
    std::string key_;
    bool is_keyed_ = false;
};

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
    thread_local hmac_sha256 codes;
    const digest value = codes.compute(key, data);
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
