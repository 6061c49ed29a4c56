#pragma once

#include <rattanbay/base/error.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

namespace rattanbay::daemon::internal {

/// Compresses data as a raw deflate stream (RFC 1951), in steps whose size the caller chooses.
class compressor {
public:
    /// `total_bytes` is the size of all data.
    explicit compressor(std::size_t total_bytes);
    ~compressor();
    compressor(const compressor&) = delete;
    compressor& operator=(const compressor&) = delete;

    void append(std::string_view data);

    /// The compressed data; called once.
    std::string finish() &&;

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// Compresses data in one step.
std::string compress(std::string_view data);

/// Decompresses a raw deflate stream. Errors: `protocol_violation` if the data is malformed or truncated or
/// has more than `max_bytes` when decompressed.
base::result<std::string> decompress(std::string_view data, std::size_t max_bytes);

} // namespace rattanbay::daemon::internal
