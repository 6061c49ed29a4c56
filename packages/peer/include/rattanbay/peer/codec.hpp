#pragma once

#include <rattanbay/base/error.hpp>
#include <rattanbay/peer/datagram.hpp>
#include <rattanbay/peer/frame.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace rattanbay::peer {

/// Maximum size of a datagram. Less than the payload of an Ethernet frame, which avoids fragmentation.
constexpr std::size_t max_datagram_bytes = 1400;

/// Size of the big-endian length field that precedes each frame.
constexpr std::size_t frame_header_bytes = 4;

/// Maximum size of a frame without its length field. A state reply contains a complete document.
constexpr std::size_t max_frame_bytes = 8 * 1024 * 1024;

/// Encodes a datagram, including its authentication code.
std::string encode(const datagram& message, std::string_view cluster_secret);

/// Decodes a datagram. Errors: `permission_denied` for a wrong authentication code,
/// `protocol_violation` for a malformed message.
base::result<datagram> decode_datagram(std::string_view bytes, std::string_view cluster_secret);

/// Encodes a frame, including its length field and authentication code.
std::string encode(const frame& message, std::string_view cluster_secret);

/// Decodes a length field. Errors: `protocol_violation` if the frame is larger than `max_frame_bytes`.
base::result<std::size_t> frame_size(std::string_view header);

/// Decodes a frame without its length field. Errors as for `decode_datagram`.
base::result<frame> decode_frame(std::string_view bytes, std::string_view cluster_secret);

} // namespace rattanbay::peer
