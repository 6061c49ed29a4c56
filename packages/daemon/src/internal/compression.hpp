#pragma once

#include <rattanbay/base/error.hpp>

#include <cstddef>
#include <string>
#include <string_view>

namespace rattanbay::daemon::internal {

/// Compresses data as a raw deflate stream (RFC 1951).
std::string compress(std::string_view data);

/// Decompresses a raw deflate stream. Errors: `protocol_violation` if the data is malformed or truncated or
/// has more than `max_bytes` when decompressed.
base::result<std::string> decompress(std::string_view data, std::size_t max_bytes);

} // namespace rattanbay::daemon::internal
